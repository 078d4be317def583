//! Hollow instances: many in one process, each with the real deciders and the real messages over real sockets of loopback, against real
//! processes of the program, without work below. What is measured is the real process's own, or is counted at the hollow side.
//!
//! Bytes are those of the datagrams; headers of IP and UDP are counted beside them, as `header bytes`. Between keepers nothing is counted.

pub mod keeper;
pub mod members;
pub mod rig;

use super::row::Row;
use rig::{Limits, Program};

/// Headers of IP version 4 and UDP, in bytes.
pub const HEADERS: u64 = 28;

/// What one part gives: its rows, a line for whoever waits.
type Part = fn(&Program, &Limits, &[u64], &mut dyn FnMut(&str)) -> Result<Vec<Row>, String>;

/// The parts, by the role whose process they measure.
const PARTS: [(&str, Part); 1] = [("keeper", keeper::rows)];

/// Measures one role, or all of them, at these sizes. `tell` is given a line for each step.
///
/// The program is `CYPRESSCLEAT_SERVER`, or `cypresscleat-server` beside this one's own file.
pub fn rows(role: Option<&str>, sizes: &[u64], tell: &mut dyn FnMut(&str)) -> Result<Vec<Row>, String> {
    let (program, limits) = (Program::find()?, Limits::read()?);
    tell(&format!("hollow: {} with {limits}", program.path.display()));
    let mut all = Vec::new();
    for (_, part) in PARTS.iter().filter(|(name, _)| role.is_none_or(|role| role == *name)) {
        all.extend(part(&program, &limits, sizes, tell)?);
    }
    Ok(all)
}
