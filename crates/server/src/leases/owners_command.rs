//! The command `owners`: who owns what, and an operator's word on it.

use super::wire::{ControlMessage, LeaderClient, ResponseKind};
use super::ControlReplicas;
use cypresscleat_leases::messages::{PartitionStatus, Request, Response};
use cypresscleat_leases::{node_id, NodeId, Partition};
use serde_json::json;
use std::collections::HashMap;
use std::io;

/// What is asked.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnersCommand {
    List {
        json: bool,
    },
    /// Take the parts of a duty from whoever owns them.
    Release {
        task: String,
    },
    /// Keep an instance from a duty, or no longer.
    Exclude {
        task: String,
        instance: String,
        excluded: bool,
    },
}

/// The exit code, and what to print. Names are those of the file; one that is not there is told by its number.
pub fn run(keepers: &ControlReplicas, what: &OwnersCommand, names: &[String]) -> io::Result<(u8, String)> {
    let mut asker = LeaderClient::new(keepers)?;
    let none = (4, "no quorum of keepers answers\n".to_string());
    let number = std::process::id();
    let request = match what {
        OwnersCommand::List { json } => return Ok(list(&mut asker, *json, names)?.unwrap_or(none)),
        OwnersCommand::Release { task } => {
            Request::Exclude { number, task: node_id(task), instance: None, excluded: true }
        }
        OwnersCommand::Exclude { task, instance, excluded } => Request::Exclude {
            number,
            task: node_id(task),
            instance: Some(node_id(instance)),
            excluded: *excluded,
        },
    };
    let done = |answer: &Response| matches!(answer, Response::Done { number: one, .. } if *one == number);
    Ok(asks(&mut asker, request, done)?.map_or(none, |_| (0, "decided\n".to_string())))
}

fn asks(
    asker: &mut LeaderClient,
    request: Request,
    fits: impl Fn(&Response) -> bool,
) -> io::Result<Option<Response>> {
    asker.request(&ControlMessage::LeaseRequest(request), |wire| match wire {
        ControlMessage::LeaseResponse { response: Response::NotLeader { leader }, .. } => {
            ResponseKind::NotLeader(leader)
        }
        ControlMessage::LeaseResponse { response, .. } if fits(&response) => ResponseKind::Matching(response),
        _ => ResponseKind::Unrelated,
    })
}

fn list(asker: &mut LeaderClient, as_json: bool, names: &[String]) -> io::Result<Option<(u8, String)>> {
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
