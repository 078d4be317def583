//! The lab: a deterministic model of a deployment in simulated time, hosting the real decisions, and experiments on it.
//! `worker` is the machine (cores shared by all that runs), `arrivals` the load, `drive` plays one against the other with a
//! `Scheduler` between them, `pools` the experiment on pools. Models and drivers know nothing of each other's insides, so a
//! larger model can take the worker's place. All times are tenths of a millisecond; the same seed gives the same run.

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
