//! The command `owners`: lists the owners of partitions, and lets an operator release or exclude them.

use super::wire::{ControlMessage, LeaderClient, ResponseKind};
use super::ControlReplicas;
use cypresscleat_leases::messages::{PartitionStatus, Request, Response};
use cypresscleat_leases::{node_id, NodeId, Partition};
use serde_json::json;
use std::collections::HashMap;
use std::io;

/// A command of the operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnersCommand {
    /// Print the owner of each partition.
    List { json: bool },
    /// Take the partitions of a task from their owners.
    Release { task: String },
    /// Exclude an instance from a task, or admit it again.
    Exclude { task: String, instance: String, excluded: bool },
}

/// Runs the command; returns the exit code and the text to print. `names` are the names in the operator's file; an id without a name
/// is printed as a number.
pub fn run(control: &ControlReplicas, command: &OwnersCommand, names: &[String]) -> io::Result<(u8, String)> {
    let mut client = LeaderClient::new(control)?;
    let no_quorum = (4, "no quorum of keepers answers\n".to_string());
    let number = std::process::id();
    let request = match command {
        OwnersCommand::List { json } => return Ok(list(&mut client, *json, names)?.unwrap_or(no_quorum)),
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
    let is_done = |response: &Response| matches!(response, Response::Done { number: answered, .. } if *answered == number);
    Ok(send_request(&mut client, request, is_done)?.map_or(no_quorum, |_| (0, "decided\n".to_string())))
}

/// Sends a request to the leader; returns the first response that `is_match` accepts.
fn send_request(
    client: &mut LeaderClient,
    request: Request,
    is_match: impl Fn(&Response) -> bool,
) -> io::Result<Option<Response>> {
    client.request(&ControlMessage::LeaseRequest(request), |wire| match wire {
        ControlMessage::LeaseResponse { response: Response::NotLeader { leader }, .. } => {
            ResponseKind::NotLeader(leader)
        }
        ControlMessage::LeaseResponse { response, .. } if is_match(&response) => {
            ResponseKind::Matching(response)
        }
        _ => ResponseKind::Unrelated,
    })
}

fn list(client: &mut LeaderClient, as_json: bool, names: &[String]) -> io::Result<Option<(u8, String)>> {
    let name_of: HashMap<NodeId, &String> = names.iter().map(|name| (node_id(name), name)).collect();
    let name = |id: NodeId| match (id, name_of.get(&id)) {
        (0, _) => "nobody".to_string(),
        (_, Some(name)) => (*name).clone(),
        (_, None) => format!("{id:016x}"),
    };
    let (mut from, mut listed): (Partition, Vec<PartitionStatus>) =
        (Partition { task: 0, index: 0 }, Vec::new());
    loop {
        let number = listed.len() as u32;
        let is_match = |response: &Response| matches!(response, Response::Partitions { number: answered, .. } if *answered == number);
        let Some(Response::Partitions { partitions: page, more, .. }) =
            send_request(client, Request::List { number, from }, is_match)?
        else {
            return Ok(None);
        };
        let last = page.last().map(|status| status.partition);
        listed.extend(page);
        match last.filter(|_| more) {
            Some(last) => from = Partition { index: last.index.saturating_add(1), ..last },
            None => break,
        }
    }
    let mut text = String::new();
    for status in listed {
        let (lease_left_ms, age_ms) = (status.lease_left as f64 / 10.0, status.cursor_age as f64 / 10.0);
        let (task, owner) = (name(status.partition.task), name(status.owner));
        let item = status.cursor.first_chunk().map(|item| u64::from_le_bytes(*item));
        text += &if as_json {
            let age_ms = (status.cursor_age >= 0).then_some(age_ms);
            let owner = (status.owner != 0).then_some(owner);
            let line = json!({"duty": task, "part": status.partition.index, "owner": owner, "token": status.token,
                "lease_left_ms": lease_left_ms, "last_done_ms_ago": age_ms, "cursor": item});
            format!("{line}\n")
        } else {
            let age = if status.cursor_age < 0 { "-".into() } else { format!("{age_ms:.0} ms ago") };
            format!(
                "{task} part {}: {owner}, token {}, lease {lease_left_ms:.0} ms, last done {age}, at {}\n",
                status.partition.index,
                status.token,
                item.map_or("-".into(), |item| item.to_string())
            )
        };
    }
    Ok(Some((0, text)))
}
