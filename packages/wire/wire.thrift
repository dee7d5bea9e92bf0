// The messages between an entry and an agent. Every field that came after version 1 is optional; unknown fields are
// skipped by the codec and an envelope without a known member is tolerated.
namespace cpp trailjunction.wire

/** The first message of each side on each connection. */
struct hello
{
	1: i32 version,
	2: string process,          // the member's or the worker's name
	3: i64 incarnation,
}

struct header
{
	1: string name,
	2: string value,
}

/** How a request ended, as the agent saw it. */
enum outcome
{
	done = 0,
	not_run = 1,
	unknown = 2,
}

/** A caller's request on its way to the upstream. */
struct request
{
	1: i64 id,                  // unique on this connection
	2: i64 budget_ms,           // time that is left until the caller's deadline
	3: string method,
	4: string target,
	5: list<header> headers,
	6: binary body,
	7: bool urgent,
	8: string traceparent,
	9: string service_name,
}

/** The end of a request. */
struct reply
{
	1: i64 id,
	2: outcome how = outcome.unknown,
	3: i32 status,
	4: list<header> headers,
	5: binary body,
	6: string reason,
	7: i32 in_flight,           // at the agent, after this reply
	8: i32 queued,
	9: i32 slots,
	10: bool leaving,
	11: i64 service_us,         // time in the upstream
	12: i64 retry_after_ms,
}

/** The caller has gone or another try has won: drop the request if it still waits. */
struct cancel
{
	1: i64 id,
}

enum run_state
{
	starting = 0,
	running = 1,
	paused = 2,
	stopping = 3,
	finished = 4,
	failed = 5,
	evicted = 6,
	stopped = 7,                // stopped with no checkpoint asked for, or lost from the platform
	refused = 8,                // never handed to the platform
}

/** One run as the agent sees it. Ended runs are repeated until they are acknowledged. */
struct run_report
{
	1: string task,
	2: i64 run,
	3: i32 shard,
	4: run_state state,
	5: string checkpoint,       // the last one taken, or empty
	6: string reason,
	7: bool throttled,
}

struct amounts
{
	1: i64 cpu_milli,
	2: i64 memory_mib,
	3: i64 accelerators,
}

/** How one service on the worker fared in one interval that lies in the past. */
struct service_sample
{
	1: string service_name,
	2: i64 age_ms,              // the middle of the interval, before the time of sending
	3: i64 count,
	4: i64 p50_us,
	5: i64 p99_us,
	6: list<string> beside,     // kinds of the batch tasks that ran then
}

/** How many tasks of one kind run on the worker. */
struct kind_amount
{
	1: string kind,
	2: i32 count,
	3: bool replica,
}

/** Agent to entry, once an interval on each control connection. */
struct heartbeat
{
	1: i64 stamp_ms,            // the agent's own steady clock
	2: i64 incarnation,
	3: bool ready,              // knows what runs on the worker
	4: bool leaving,
	5: amounts capacity,
	6: amounts claimed,
	7: amounts used,
	8: amounts foreign_use,
	9: list<run_report> runs,
	10: i64 config_version,
	11: list<service_sample> samples,
	12: string data_centre,
	13: string rack,
	14: string service_name,
	15: list<kind_amount> kinds, // of all runs, also of those that this entry is not told about
}

/** One run that the owner of its shard confirms. */
struct confirmed_run
{
	1: string task,
	2: i64 run,
	3: i64 epoch,
	4: i32 shard,
}

/** Entry to agent: the answer to a heartbeat. The lease of each confirmed run counts from stamp_ms. */
struct grant
{
	1: i64 stamp_ms,            // of the heartbeat that is answered
	2: i64 incarnation,
	3: list<confirmed_run> runs,
	4: list<confirmed_run> acknowledged, // ended runs that are durable now
	5: i64 config_version,
}

/** Entry to agent. */
struct start_run
{
	1: string task,
	2: i64 run,
	3: i32 shard,
	4: i64 epoch,
	5: i64 stamp_ms,
	6: i64 incarnation,
	7: string kind,
	8: amounts claim,
	9: string checkpoint,       // to resume from, or empty
	10: string command,
	11: bool replica,         // a replica of a service: it is not fenced
	12: bool adopt,             // it already runs on this worker under the operators' own scripts
}

enum run_order
{
	evict = 0,                  // checkpoint, then stop
	stop = 1,
	throttle = 2,
	unthrottle = 3,
	release = 4,                // leave it to the operators' scripts
}

/** Entry to agent. */
struct order_run
{
	1: string task,
	2: i64 run,
	3: i32 shard,
	4: i64 epoch,
	5: run_order what,
	6: string reason,
}

/** Entry to agent: a configuration that the store has accepted. */
struct config
{
	1: i64 version,
	2: string document,
}

/** Names one task of a job. */
struct task_name
{
	1: string job,
	2: i32 occurrence,          // of a repeated job, counted from 0
	3: i32 group,               // of the job's graph, counted from 0
	4: i32 index,               // within the group, counted from 0
}

/** One run of a task. */
struct task_run
{
	1: task_name task,
	2: i32 run,                 // counted from 1
}

/** Entry to agent, first on each job link: the sender owns the jobs under this epoch. */
struct job_claim
{
	1: i64 epoch,
	2: string member,
	3: i64 run_lease_ms,        // how long runs go on after the stamp of a confirmation
}

/** What a filler does to serving tasks of one image, on ln(strain) per processor. */
struct image_pressure
{
	1: string image,
	2: i32 milli,               // in thousandths
}

/** Entry to agent: start a run, or, where the run exists already, learn what it is. */
struct job_start
{
	1: task_run what,
	2: string worker,           // the incarnation of the worker that may start it
	3: string payload,
	4: string checkpoint,       // to resume from, or empty
	5: i64 latency_target_ms,   // of a task that serves callers; 0 for others
	6: bool filler,             // lives on what other tasks leave unused
	7: bool known_running,      // the worker has listed it: only learn what it is
	8: string image,
	9: list<image_pressure> pressures, // of a filler, where it differs from nothing
	10: bool repeated,          // an earlier order of the same run may have been carried out
	11: bool movable,           // of a filler: it saves its work at a stop, and no other task has to stay with it
	12: amounts claim,          // what it takes of the worker's room; of fillers no processor time is counted
}

/** Entry to agent: stop a run, whether it has begun or not. */
struct job_stop
{
	1: task_run what,
	2: string worker,
}

/** Entry to agent: the answer to a report. */
struct job_confirm
{
	1: string worker,
	2: i64 stamp_ms,            // of the report; the lease of all runs counts from here
	3: i64 ends_kept,           // ends up to this number are durable
}

/** One run that a worker lists. */
struct job_run
{
	1: task_run what,
	2: string checkpoint,
	3: i32 progress_percent,    // of a serving task: 100 once it is at work
	4: i32 figure,              // latency tail in ms of a serving task, processor use in thousandths of others
}

enum run_end
{
	end_done = 0,
	end_failed = 1,
	end_stopped = 2,
	end_lapsed = 3,                 // its lease was over
	end_broken = 4,                 // another member of its gang ended
	end_alone = 5,                  // its gang did not come together
}

/** The end of a run, repeated until it is durable. */
struct job_end
{
	1: i64 number,              // counted by the worker in each incarnation
	2: task_run what,
	3: run_end how,
	4: string checkpoint,
}

enum start_refusal
{
	refused_never_started = 0,          // the order was settled without a start
	refused_no_room = 1,
	refused_unhealthy = 2,              // the worker refused to start anything now
	refused_invalid = 3,                // the worker takes the order for malformed
	refused_superseded = 4,             // the worker has stopped or ended this run before
	refused_leaving = 5,                // the worker is draining
}

/** A run that was ordered and certainly does not run. */
struct job_refusal
{
	1: task_run what,
	2: start_refusal why,
}

/** A run that a worker had when it crashed, or may have had. */
struct job_lost_run
{
	1: task_run what,
	2: i64 worked_ms,           // from the worker's confirmation to its last answer, at least
	3: optional i64 ordered_ms, // from the order to the last answer, where the agent had the order
}

/** The incarnation of the worker that was there before the present one; the present one itself where it has ended. */
struct job_lost_worker
{
	1: string worker,
	2: i64 unheard_ms,          // since its last answer
	3: list<job_lost_run> runs,
}

/** Agent to entry: what has changed since the report before; everything where full is set. */
struct job_report
{
	1: string worker,           // the worker's incarnation; empty where none is known
	2: i64 stamp_ms,            // the agent's steady clock
	3: bool full,
	4: list<job_run> running,   // all of them where full is set, otherwise those that changed
	5: list<job_end> ended,
	6: list<job_refusal> refused,
	7: amounts capacity,
	8: list<string> labels,
	9: bool draining,
	10: i64 remaining_ms,       // until a draining worker is gone
	11: string service_name,
	12: list<task_run> started, // runs that the worker has confirmed
	13: bool responsive,        // the worker answers its agent
	14: i32 pace_percent,       // of the fillers
	15: bool lease_ends,        // the agent is about to go: it extends the lease of its worker's runs no more
	16: i64 unheard_ms,         // since the worker's last answer
	17: optional job_lost_worker lost, // where full is set, and in the first report of an incarnation
}

/** What a frame holds: exactly one member. */
struct envelope
{
	1: optional hello hi,
	2: optional request req,
	3: optional reply rep,
	4: optional cancel drop,
	5: optional heartbeat beat,
	6: optional grant lease,
	7: optional start_run start,
	8: optional order_run order,
	9: optional config conf,
	10: optional job_claim claim,
	11: optional job_start job_begin,
	12: optional job_stop job_halt,
	13: optional job_confirm confirm,
	14: optional job_report job_status,
}
