//! Counters of the server, written as one log line on SIGUSR1 and at exit.

use std::cell::Cell;

/// Defines a struct of counters. Their names appear in the log line as they are written here.
macro_rules! counters {
    ($struct_name:ident; $($name:ident: $description:literal),* $(,)?) => {
        #[derive(Default)]
        pub struct $struct_name {
            $(#[doc = $description] pub $name: std::cell::Cell<u64>,)*
        }

        impl $struct_name {
            /// Returns all counters as `name value` pairs, separated by commas.
            pub fn summary(&self) -> String {
                let pairs = [$((stringify!($name), self.$name.get())),*];
                let pairs: Vec<String> = pairs.iter().map(|(name, value)| format!("{name} {value}")).collect();
                pairs.join(", ")
            }
        }
    };
}

pub(crate) use counters;

counters! { Counters;
    connections: "connections accepted",
    accept_errors: "connections that could not be accepted, as for want of descriptors",
    idle_closed: "idle connections closed, by decision of the scheduler or to free a slot",
    stuck_closed: "connections closed as the peer read nothing",
    silent_closed: "connections closed as no complete frame arrived in time",
    turned_away: "gateway connections rejected at the connection limit",
    checks: "health checks answered",
    invocations: "requests received",
    open_most: "maximum number of responses pending at once",
    policy_held: "requests held during the barrier of a policy change",
    policy_refused: "requests rejected while out of service under a policy",
    tokens_refused: "requests rejected as no more idempotency keys could be stored",
    resent: "requests received again with the same id on another connection",
    malformed: "malformed frames or lines",
    caller_left: "requests whose client disconnected",
    succeeded: "responses with success",
    throttled: "responses with a rejection",
    errored: "responses with an error",
    late_answers: "responses whose connection was already closed",
    runs: "runs started",
    stops: "runs stopped",
    runs_succeeded: "runs that succeeded",
    runs_errored: "runs that failed",
    runs_stopped: "runs that ended as stopped or as moot",
    kernel_links: "links established to the executor",
    kernel_resent: "commands resent to the executor on a new link",
    kernel_rejected: "commands rejected by the executor",
    calls: "calls posted to the downstream proxy",
    calls_succeeded: "calls that succeeded",
    calls_throttled: "calls rejected",
    calls_errored: "calls that failed",
    calls_expired: "calls that timed out",
    calls_lost: "calls whose connection failed or could not be established",
    calls_abandoned: "calls abandoned by this server",
    tried_again: "further attempts at another worker",
    rows: "billing rows sent to the store",
    recorded: "responses sent after their billing row was stored",
    unrecorded: "responses whose billing row could not be stored",
    repeated: "retries answered with the stored result of the first attempt",
    reports: "reports accepted by the service registry",
    reports_lost: "reports that the service registry did not answer as expected",
    reloads: "configurations reloaded on SIGHUP",
    clock_late_ms: "maximum delay of the scheduler's timer, in milliseconds",
}

/// Increments a counter.
pub fn add(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
