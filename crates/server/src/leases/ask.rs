//! The command `owners`: who owns what, and an operator's word on it.

use super::wire::{Asker, Heard, Wire};
use super::Keepers;
use cypresscleat_leases::messages::{PartitionStatus, Request, Response};
use cypresscleat_leases::{node_id, NodeId, Partition};
use serde_json::json;
use std::collections::HashMap;
use std::io;

/// What is asked.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    List {
        json: bool,
    },
    /// Take the parts of a duty from whoever owns them.
    Release {
        duty: String,
    },
    /// Keep an instance from a duty, or no longer.
    Bar {
        duty: String,
        instance: String,
        barred: bool,
    },
}

/// The exit code, and what to print. Names are those of the file; one that is not there is told by its number.
pub fn run(keepers: &Keepers, what: &What, names: &[String]) -> io::Result<(u8, String)> {
    let mut asker = Asker::new(keepers)?;
    let none = (4, "no quorum of keepers answers\n".to_string());
    let number = std::process::id();
    let request = match what {
        What::List { json } => return Ok(list(&mut asker, *json, names)?.unwrap_or(none)),
        What::Release { duty } => {
            Request::Exclude { number, task: node_id(duty), instance: None, excluded: true }
        }
        What::Bar { duty, instance, barred } => Request::Exclude {
            number,
            task: node_id(duty),
            instance: Some(node_id(instance)),
            excluded: *barred,
        },
    };
    let done = |answer: &Response| matches!(answer, Response::Done { number: one, .. } if *one == number);
    Ok(asks(&mut asker, request, done)?.map_or(none, |_| (0, "decided\n".to_string())))
}

fn asks(
    asker: &mut Asker,
    request: Request,
    fits: impl Fn(&Response) -> bool,
) -> io::Result<Option<Response>> {
    asker.ask(&Wire::Ask(request), |wire| match wire {
        Wire::Answer { answer: Response::NotLeader { leader }, .. } => Heard::Elsewhere(leader),
        Wire::Answer { answer, .. } if fits(&answer) => Heard::Fits(answer),
        _ => Heard::Other,
    })
}

fn list(asker: &mut Asker, as_json: bool, names: &[String]) -> io::Result<Option<(u8, String)>> {
    let named: HashMap<NodeId, &String> = names.iter().map(|name| (node_id(name), name)).collect();
    let name = |number: NodeId| match (number, named.get(&number)) {
        (0, _) => "nobody".to_string(),
        (_, Some(name)) => (*name).clone(),
        (_, None) => format!("{number:016x}"),
    };
    let (mut from, mut all): (Partition, Vec<PartitionStatus>) =
        (Partition { task: 0, index: 0 }, Vec::new());
    loop {
        let number = all.len() as u32;
        let fits =
            |answer: &Response| matches!(answer, Response::Partitions { number: one, .. } if *one == number);
        let Some(Response::Partitions { partitions: lines, more, .. }) =
            asks(asker, Request::List { number, from }, fits)?
        else {
            return Ok(None);
        };
        let last = lines.last().map(|line| line.partition);
        all.extend(lines);
        match last.filter(|_| more) {
            Some(last) => from = Partition { index: last.index.saturating_add(1), ..last },
            None => break,
        }
    }
    let mut text = String::new();
    for line in all {
        let (left, moved) = (line.lease_left as f64 / 10.0, line.cursor_age as f64 / 10.0);
        let (duty, owner) = (name(line.partition.task), name(line.owner));
        let item = line.cursor.clone().try_into().map(u64::from_le_bytes).ok();
        text += &if as_json {
            let moved = (line.cursor_age >= 0).then_some(moved);
            let owner = (line.owner != 0).then_some(owner);
            let line = json!({"duty": duty, "part": line.partition.index, "owner": owner, "token": line.token,
                "lease_left_ms": left, "last_done_ms_ago": moved, "cursor": item});
            format!("{line}\n")
        } else {
            let moved = if line.cursor_age < 0 { "-".into() } else { format!("{moved:.0} ms ago") };
            format!(
                "{duty} part {}: {owner}, token {}, lease {left:.0} ms, last done {moved}, at {}\n",
                line.partition.index,
                line.token,
                item.map_or("-".into(), |item| item.to_string())
            )
        };
    }
    Ok(Some((0, text)))
}
