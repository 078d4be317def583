//! What was taken in, sent and answered, as one line on invocation (SIGUSR1) and at exit.

use std::cell::Cell;

macro_rules! counters {
    ($all:ident; $($name:ident: $meaning:literal),* $(,)?) => {
        #[derive(Default)]
        pub struct $all {
            $(#[doc = $meaning] pub $name: std::cell::Cell<u64>,)*
        }

        impl $all {
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
    idle_closed: "closed for idling, at the module's word or to make room",
    stuck_closed: "closed as the peer read nothing",
    silent_closed: "closed as no whole frame came in time",
    turned_away: "connections of gateways that found no room",
    checks: "health checks answered",
    invocations: "invocations taken in",
    open_most: "the most answers that were owed at once",
    policy_held: "invocations held for a moment while a change of policy stopped all",
    policy_refused: "invocations turned away while out of service under a policy",
    tokens_refused: "invocations turned away as no more tokens could be kept",
    resent: "invocations that came again under their id on another connection",
    malformed: "frames or lines that could not be read",
    caller_left: "invocations whose caller left",
    succeeded: "answers of success",
    throttled: "answers of throttling",
    errored: "answers of error",
    late_answers: "answers whose connection was gone",
    runs: "runs started",
    stops: "runs stopped",
    runs_succeeded: "runs that ended well",
    runs_errored: "runs that errored",
    runs_stopped: "runs that were stopped or had nothing to do",
    kernel_links: "links made to the kernel",
    kernel_resent: "commands sent again on a new link",
    kernel_rejected: "commands the kernel would not carry out",
    calls: "calls posted to the ledger",
    calls_succeeded: "calls posted well",
    calls_throttled: "calls turned away",
    calls_errored: "calls that errored",
    calls_expired: "calls that ran out of time",
    calls_lost: "calls whose connection broke or never came about",
    calls_abandoned: "calls given up from here",
    tried_again: "tries at another worker",
    rows: "billing rows handed to the store",
    recorded: "answers that waited for their row and had it",
    unrecorded: "answers whose row could not be kept",
    repeated: "repeats answered by the first one's result",
    reports: "reports the roster took",
    reports_lost: "reports that were not answered as due",
    reloads: "configurations taken over on SIGHUP",
    clock_late_ms: "the latest the module's timer ever came, in milliseconds",
}

pub fn add(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
