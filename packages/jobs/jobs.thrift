// Rows in which the store keeps jobs. Fields that are added later are optional; the codec skips unknown fields.
namespace cpp trailjunction.stored

/** The configuration of a job's queue at the time when the job was accepted. */
struct queue
{
	1: string name,
	2: string service_name,
	3: i32 priority,
	4: i32 max_attempts,
	5: double stretch,
	6: i64 latency_target_ms,
}

/** One group of identical tasks. */
struct group
{
	1: i32 count,
	2: i64 cpu_milli,
	3: i64 memory_mib,
	4: i64 accelerators,
	5: i64 estimate_ms,
	6: list<i32> after,
	7: bool checkpointing,
	8: bool gang,
	9: bool same_rack,
	10: string required_label,
	11: string preferred_rack,
	12: i32 per_worker_limit,
	13: bool speculative,
	14: bool long_running,
	15: string image,
	16: i64 latency_target_ms,
	17: bool filler,
	18: i32 may_be_away,
}

/** A job as submitted by its client; written once. */
struct submission
{
	1: queue route,
	2: string payload,
	3: list<group> groups,
	4: i32 occurrences,
	5: i64 first_due_ms,
	6: i64 interval_ms,
}

/** One task that has begun at least once. */
struct task
{
	1: i32 place,               // occurrence, group and index as one number; see task_index()
	2: i32 phase,               // of a placed task, running only if a listing of its worker has shown the run
	3: i32 run,
	4: i32 failures,
	5: i32 worker,              // index into progress.workers, or -1
	6: string checkpoint,
	7: list<i32> crashed,       // workers that crashed under its latest runs in a row; indexes into progress.workers
	8: i64 crash_age_ms,        // highest age of such a run at the crash, by upper bounds
	9: i64 crash_blame_ppm,     // sum of the task's shares of the blame for these crashes, in millionths
	10: list<i32> crash_shared, // those of crashed whose crash is correlated with others; indexes into progress.workers
	11: i64 crash_survived_ms,  // highest lower bound of the age of a run when its worker crashed
	12: optional i64 crash_soonest_ms, // lowest upper bound of that age; unset if unknown
	13: i32 failed_run,         // the latest run whose failure is counted
	14: i32 crashed_run,        // the latest run whose crash is counted
	15: list<i64> crash_survived_each_ms, // lower bounds of the ages at the crashes in crashed; may be shorter
	16: list<i64> crash_latest_each_ms,   // upper bounds of these ages, or -1 if unknown; may be shorter
	17: optional i64 held_until_ms, // in ms of the store's clock, or 0 if unknown; unset if the task is not held back
}

/** The progress of a job; written only by the owner of its shard. */
struct progress
{
	1: i32 status,
	2: list<string> workers,
	3: list<task> tasks,
	4: i64 ended_ms,            // in ms of the store's clock, or 0 if not ended or unknown
	5: list<i64> worker_starts_ms, // start times of the incarnations in workers, or 0 if unknown; may be shorter
}

/** The number of jobs of a queue of which no task has begun. */
struct queue_depth
{
	1: string name,
	2: i64 waiting,
}

/** The free capacity of one service's workers; see room_forecast.hpp. */
struct service_forecast
{
	1: string name,
	2: double free_cores,
	3: i64 widest_cpu_milli,
	4: i64 widest_memory_mib,
	5: i64 widest_accelerators,
	6: double cores_at_work,
	7: double filler_cores_at_work,
	8: double cores_per_second,
}

/** Expected wait of a new job of one queue, and the statistics of the queue's run times. */
struct queue_forecast
{
	1: string name,
	2: string service_name,
	3: bool filler,
	4: double backlog_core_seconds,
	5: i64 wait_ms,
	6: i64 wait_spread_ms,
	7: double groups,
	8: double guess_mean,
	9: double time_mean,
	10: double guess_squares,
	11: double products,
}

/** The free capacity that the owner expected at some time. */
struct forecast
{
	1: i64 made_ms,             // in ms of the store's clock, or 0 if there is no forecast
	2: list<service_forecast> services,
	3: list<queue_forecast> queues,
}

/** The single row with the owner of the shard; rewritten with each transaction of the owner. */
struct ownership
{
	1: i64 epoch,
	2: string member,
	3: i64 incarnation,
	4: i64 sequence,            // number of the owner's transaction
	5: bool released,           // the owner has left in a planned way
	6: list<queue_depth> depths,
	7: bool loaded,             // the owner has loaded all jobs, so depths are complete
	8: string address,          // where the owner accepts callers; held by one process at a time
	9: i64 handed_on_ms,        // when a lagging owner last handed the row on, in ms of the store's clock, or 0
	10: forecast room,
	11: optional i64 lease_ms,  // how long the owner may act after it sent this row; unset by earlier versions
}

/** The worker of an agent, as last reported to an owner; written by the owner of the shard. */
struct worker
{
	1: string life,
	2: string address,          // where its agent accepted connections then
	3: optional i64 start_ms,   // start time of the incarnation; unset if unknown
	4: optional i64 unconfirmed_lease_end_ms, // until when it may hold a lease that no owner has confirmed, in ms of the store's clock; unset if it holds none
}

/** How much a filler image slows down a serving image; see filler_pressure.hpp. */
struct pair_pressure
{
	1: string serving,
	2: string filler,
	3: double mean,             // of the effect on ln(strain), per processor
	4: double variance,
}

/** The pressures between images that the owner of the shard has learnt; the next owner continues from them. */
struct pressures
{
	1: list<pair_pressure> pairs,
}

/** The address at which the agent of a worker accepts connections. */
struct agent
{
	1: string address,
	2: string data_centre,
}
