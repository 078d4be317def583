//! cypresscleat decides, inside each app server of a fleet, what it takes, runs and turns away.
//!
//! Build a [`Brain`] from [`api::Settings`], tell it what happens through one method per
//! message, and carry out what it asks of the [`api::Host`].

pub mod api;
mod brain;

pub use brain::Brain;
