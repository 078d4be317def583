//! A deterministic model of a deployment in simulated time, which runs the real decision code, and experiments on the model.
//! `worker` is the machine (cores shared by all running jobs), `arrivals` the workload, `drive` runs the workload on the worker with
//! a `Scheduler` between them, and `pools` is the experiment on pools. Models and drivers don't depend on each other's internals, so
//! a larger model can replace the worker. All times are tenths of a millisecond; the same seed gives the same run.

pub mod arrivals;
pub mod drive;
pub mod index;
pub mod owners;
pub mod pools;
pub mod relays;
pub mod rollout;
pub mod scale;
pub mod tier;
pub mod worker;
