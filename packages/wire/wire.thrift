// The messages between an entry and an agent. Fields added after version 1 are optional. The codec skips unknown
// fields, and an envelope without a known member is tolerated.
namespace cpp trailjunction.wire

/** The first message from each side on every connection. */
struct hello
{
	1: i32 version,
	2: string process,          // name of the member or the worker
	3: i64 incarnation,
}

struct header
{
	1: string name,
	2: string value,
}

/** Outcome of a request, as determined by the agent. */
enum outcome
{
	done = 0,
	not_run = 1,
	unknown = 2,
}

/** Entry to agent: a caller's request for the upstream. */
struct request
{
	1: i64 id,                  // unique on this connection
	2: i64 budget_ms,           // remaining time until the caller's deadline
	3: string method,
	4: string target,
	5: list<header> headers,
	6: binary body,
	7: bool urgent,
	8: string traceparent,
	9: string service_name,
}

/** Agent to entry: the response to a request. */
struct reply
{
	1: i64 id,
	2: outcome how = outcome.unknown,
	3: i32 status,
	4: list<header> headers,
	5: binary body,
	6: string reason,
	7: i32 in_flight,           // requests at the agent after this reply
	8: i32 queued,
	9: i32 slots,
	10: bool leaving,
	11: i64 service_us,         // time that the upstream took
	12: i64 retry_after_ms,
}

/** Entry to agent: the caller disconnected or another attempt succeeded; drop the request if it is still queued. */
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
	stopped = 7,                // stopped without a checkpoint request, or lost by the platform
	refused = 8,                // never passed to the platform
}

/** State of one run at the agent. Ended runs are reported until they are acknowledged. */
struct run_report
{
	1: string task,
	2: i64 run,
	3: i32 shard,
	4: run_state state,
	5: string checkpoint,       // the last checkpoint, or empty
	6: string reason,
	7: bool throttled,
}

struct amounts
{
	1: i64 cpu_milli,
	2: i64 memory_mib,
	3: i64 accelerators,
}

/** Latency of one service on the worker during one past interval. */
struct service_sample
{
	1: string service_name,
	2: i64 age_ms,              // time from the middle of the interval to sending
	3: i64 count,
	4: i64 p50_us,
	5: i64 p99_us,
	6: list<string> beside,     // kinds of the batch tasks that ran during the interval
}

/** Number of tasks of one kind that run on the worker. */
struct kind_amount
{
	1: string kind,
	2: i32 count,
	3: bool replica,
}

/** Agent to entry, once per heartbeat interval on each control connection. */
struct heartbeat
{
	1: i64 stamp_ms,            // by the agent's own clock
	2: i64 incarnation,
	3: bool ready,              // the agent knows what runs on the worker
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
	15: list<kind_amount> kinds, // of all runs, including those that are not reported to this entry
}

/** One run that is confirmed by the owner of its shard. */
struct confirmed_run
{
	1: string task,
	2: i64 run,
	3: i64 epoch,
	4: i32 shard,
}

/** Entry to agent: the answer to a heartbeat. The lease of each confirmed run starts at stamp_ms. */
struct grant
{
	1: i64 stamp_ms,            // from the heartbeat that is answered
	2: i64 incarnation,
	3: list<confirmed_run> runs,
	4: list<confirmed_run> acknowledged, // ended runs whose end is durable
	5: i64 config_version,
}

/** Entry to agent: start a run. */
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
	11: bool replica,           // a replica of a service, which is never fenced
	12: bool adopt,             // take over the run that the operators' own scripts started on this worker
}

enum run_order
{
	evict = 0,                  // checkpoint, then stop
	stop = 1,
	throttle = 2,
	unthrottle = 3,
	release = 4,                // hand the run over to the operators' scripts
}

/** Entry to agent: act on a run. */
struct order_run
{
	1: string task,
	2: i64 run,
	3: i32 shard,
	4: i64 epoch,
	5: run_order what,
	6: string reason,
}

/** Entry to agent: a configuration version that is durable in the store. */
struct config
{
	1: i64 version,
	2: string document,
}

/** Identifies one task of a job. */
struct task_name
{
	1: string job,
	2: i32 occurrence,          // of a repeated job, from 0
	3: i32 group,               // in the job's graph, from 0
	4: i32 index,               // within the group, from 0
}

/** One run of a task. */
struct task_run
{
	1: task_name task,
	2: i32 run,                 // from 1
}

/** Entry to agent, first message on each job link: the sender owns the jobs with this epoch. */
struct job_claim
{
	1: i64 epoch,
	2: string member,
	3: i64 run_lease_ms,        // how long runs continue after the stamp of a confirmation
}

/** Effect of a filler on serving tasks of one image, as an increase of ln(strain) per processor. */
struct image_pressure
{
	1: string image,
	2: i32 milli,               // in thousandths
}

/** Entry to agent: start a run or, if the run already exists, record its properties. */
struct job_start
{
	1: task_run what,
	2: string worker,           // the worker incarnation that may start the run
	3: string payload,
	4: string checkpoint,       // to resume from, or empty
	5: i64 latency_target_ms,   // of a serving task; 0 for others
	6: bool filler,             // uses only processor time that other tasks leave idle
	7: bool known_running,      // the worker has already reported the run: only record its properties
	8: string image,
	9: list<image_pressure> pressures, // of a filler; images without an effect are omitted
	10: bool repeated,          // an earlier order for the same run may have been executed
	11: bool movable,           // of a filler: it checkpoints when stopped and is not part of a gang
	12: amounts claim,          // resources it takes on the worker; processor time of fillers is not counted
	13: optional i64 worker_start_ms, // start time of the worker incarnation; unset if unknown, also in other messages
}

/** Entry to agent: stop a run, whether it has started or not. */
struct job_stop
{
	1: task_run what,
	2: string worker,
	3: optional i64 worker_start_ms,
}

/** Entry to agent: the response to a report. */
struct job_confirm
{
	1: string worker,
	2: i64 stamp_ms,            // from the report; the lease of all runs starts here
	3: i64 ends_kept,           // run ends up to this number are durable
	4: optional i64 worker_start_ms,
}

/** One run that a worker reports. */
struct job_run
{
	1: task_run what,
	2: string checkpoint,
	3: i32 progress_percent,    // of a serving task: 100 once it serves requests
	4: i32 figure,              // tail latency in ms of a serving task; processor use in thousandths of other tasks
}

enum run_end
{
	end_done = 0,
	end_failed = 1,
	end_stopped = 2,
	end_lapsed = 3,                 // its lease expired
	end_broken = 4,                 // another task of its gang ended
	end_alone = 5,                  // not all tasks of its gang started
}

/** The end of a run; reported until it is durable. */
struct job_end
{
	1: i64 number,              // assigned by the worker; starts anew in each incarnation
	2: task_run what,
	3: run_end how,
	4: string checkpoint,
}

enum start_refusal
{
	refused_never_started = 0,          // the order was resolved without a start
	refused_no_room = 1,
	refused_unhealthy = 2,              // the worker currently refuses all starts
	refused_invalid = 3,                // the worker rejected the order as malformed
	refused_superseded = 4,             // the worker already stopped or ended this run
	refused_leaving = 5,                // the worker is draining
}

/** A run that was ordered and provably does not run. */
struct job_refusal
{
	1: task_run what,
	2: start_refusal why,
}

/** A run that was, or may have been, on a worker when it crashed. */
struct job_lost_run
{
	1: task_run what,
	2: i64 worked_ms,           // lower bound: from the worker's confirmation of the run to the worker's last answer
	3: optional i64 ordered_ms, // from the order to the worker's last answer; set if the agent had the order
}

/** The worker incarnation before the current one, or the current one if it has ended. */
struct job_lost_worker
{
	1: string worker,
	2: i64 unheard_ms,          // time since its last answer
	3: list<job_lost_run> runs,
	4: optional i64 worker_start_ms,
}

/** Agent to entry: changes since the previous report, or the whole state if full is set. */
struct job_report
{
	1: string worker,           // the worker's id; empty if none is known
	2: i64 stamp_ms,            // by the agent's own clock
	3: bool full,
	4: list<job_run> running,   // all runs if full is set, otherwise those that changed
	5: list<job_end> ended,
	6: list<job_refusal> refused,
	7: amounts capacity,
	8: list<string> labels,
	9: bool draining,
	10: i64 remaining_ms,       // time until a draining worker terminates
	11: string service_name,
	12: list<task_run> started, // runs that the worker has confirmed
	13: bool responsive,        // the worker answers its agent
	14: i32 pace_percent,       // share of full speed at which fillers run
	15: bool lease_ends,        // the agent is stopping and no longer extends the leases of its worker's runs
	16: i64 unheard_ms,         // time since the worker's last answer
	17: optional job_lost_worker lost, // set if full is set, and in the first report of an incarnation
	18: list<task_run> unlisted, // runs that the worker had and lists no more, neither as running nor as ended
	19: optional i64 worker_start_ms,
	20: optional i64 unconfirmed_lease_ms, // how much longer the worker may hold a lease that no owner has confirmed
}

/** Content of a frame: exactly one member is set. */
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
