//! The interface of the decision module: plain types and the `Host` trait. Nothing here decides.

pub use cypresscleat_primitives::Time;

/// One invocation: a small index the adapter hands out and may hand out again after `Host::release`.
pub type Inv = usize;

/// Whether an invocation may run again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    #[default]
    Idempotent,
    Tokened,
    NonIdempotent,
}

/// What stopping a running invocation does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Halt {
    #[default]
    Never,
    Discard,
    Freeze,
}

/// What callers take the advertised value to mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Say {
    #[default]
    Nothing,
    Floor,
    Allowance,
    Weight,
}

/// What invocations call while they run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Below {
    #[default]
    Nothing,
    Tier,
    Shared,
}

#[derive(Clone, Debug, Default)]
pub struct Operation {
    pub objective: Time,
    /// The objective grows by this multiple of the invocation's own work.
    pub stretch: f64,
    pub timeout: Time,
    pub effect: Effect,
    pub billed: f64,
    /// Share of the billed value kept by an answer after the objective.
    pub late: f64,
    /// Share kept by an answer made without the call below; 0 forbids skipping.
    pub skipped: f64,
    pub calls: bool,
    /// How long a tokened invocation may come back.
    pub window: Time,
}

/// The settings of one app server, as told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub operations: Vec<Operation>,
    /// Invocations per second within each customer's share, over the whole fleet.
    pub customers: Vec<f64>,
    pub over_share: f64,
    pub by_work: bool,
    pub servers: f64,
    pub callers: f64,
    pub cores: f64,
    pub cold: bool,
    pub cold_from: f64,
    pub cold_for: Time,
    pub memory_kb: f64,
    pub entry_kb: f64,
    pub blowup: f64,
    pub halt: Halt,
    pub say: Say,
    pub below: Below,
    pub calls_out: f64,
    pub calls_over: Time,
    pub lingers: Time,
    pub fresh: Time,
    pub slack: Time,
    pub drain_grace: Time,
    pub tip: f64,
    pub max_backoff: Time,
    pub seed: u64,
    /// None: every operation takes what it gets.
    pub pools: cypresscleat_concurrency::PoolsConfig,
}

/// An invocation that was read and waits for a decision.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    pub inv: Inv,
    pub op: usize,
    pub customer: Option<usize>,
    /// How long the caller still waits, where it says so.
    pub budget: Option<Time>,
    pub rank: f64,
    /// `Some(None)` names an earlier one that has been released.
    pub repeats: Option<Option<Inv>>,
    pub keyed: bool,
    pub unread: Time,
    pub write: bool,
    pub resent: bool,
    /// Expected work, where told.
    pub hint: Option<f64>,
    pub kb: f64,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    Errored,
    Throttled,
    NoAnswer,
    NoConnection,
    ConnectionLost,
    CalledOff,
    NotStarted,
}

/// The server's own measurements; `None` where not offered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    pub core_use: Option<f64>,
    pub on_cores: Option<f64>,
    pub memory: Option<f64>,
    pub links: Option<f64>,
}

/// What the module asks of whoever hosts it.
pub trait Host {
    /// Start a held invocation or resume a frozen one.
    fn run(&mut self, inv: Inv);
    /// Final answer: turned away, come back after `back`; `give_up` asks not to try elsewhere.
    fn throttle(&mut self, inv: Inv, back: Time, give_up: bool);
    /// Final answer: errored.
    fn error(&mut self, inv: Inv);
    /// Stop the running work.
    fn stop(&mut self, inv: Inv);
    fn call(&mut self, inv: Inv, within: Time);
    fn skip_call(&mut self, inv: Inv);
    /// Keep an entry so that repeats are linked to this invocation.
    fn keep(&mut self, inv: Inv, span: Time);
    /// Answer from the result of the invocation this one repeats.
    fn reuse(&mut self, inv: Inv);
    fn health(&mut self, good: bool, stored: bool);
    fn advertise(&mut self, value: f64);
    /// Close connections that have carried nothing for this long.
    fn close_idle(&mut self, after: Time);
    fn wake(&mut self, after: Time);
    fn log(&mut self, line: &str);
    /// The module knows nothing more of this invocation; its index may be used again.
    fn release(&mut self, inv: Inv);
}
