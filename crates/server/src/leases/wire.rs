//! Datagrams to and from control replicas, and a client that sends requests to the leader.

use super::known_replicas::KnownReplicas;
use super::ControlReplicas;
use crate::sockets::add_context;
use cypresscleat_consensus::message::{self, Message};
use cypresscleat_leases::{messages, node_id, NodeId};
use cypresscleat_rollout::messages as policies;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// The content of a datagram. The first three variants have the encoding of `leases::messages::Datagram`; later variants are added
/// at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Between control replicas.
    Consensus(Message),
    /// To a control replica.
    LeaseRequest(messages::Request),
    /// From the control replica `from`.
    LeaseResponse { from: NodeId, response: messages::Response },
    /// To a control replica or a relay.
    RolloutRequest(policies::Request),
    /// From the control replica or relay `from`.
    RolloutResponse { from: NodeId, response: policies::Response },
    /// The address of a control replica, sent before the response that names it as the leader: the replica may have been added after
    /// the client was started.
    ReplicaAddress { replica: NodeId, address: SocketAddr },
}

/// Maximum number of control replicas that a process knows: those in its operator's file and those that were added later.
const MAX_KNOWN_REPLICAS: usize = 32;

/// Adds the address `at` of a replica, where the sender's address `sender` is that of a known replica. Returns whether it was added;
/// the address of a known replica stays.
pub fn learn_address(
    known: &mut HashMap<NodeId, SocketAddr>,
    sender: SocketAddr,
    replica: NodeId,
    at: SocketAddr,
) -> bool {
    let trusted = known.values().any(|address| *address == sender);
    if !trusted || known.contains_key(&replica) || known.len() >= MAX_KNOWN_REPLICAS {
        return false;
    }
    known.insert(replica, at);
    true
}

/// Time limit of all requests of a client; without a response of a quorum by then there is no quorum.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(300);

/// Name of the process in its log lines.
const LOG_NAME: &str = "command";

/// What a response means to the request that is waiting.
pub enum ResponseKind<T> {
    /// The response to the request.
    Matching(T),
    /// The sender does not lead; the leader as far as the sender knows.
    NotLeader(NodeId),
    /// Not a response to the request.
    Unrelated,
}

/// Sends an operator's requests to the leader of the control replicas.
pub struct LeaderClient {
    socket: UdpSocket,
    /// The replicas of the operator's file, and those learned later.
    replicas: KnownReplicas,
    /// Replicas in the order of attempts.
    order: Vec<NodeId>,
    /// Position in `order`.
    position: usize,
    deadline: Instant,
}

impl LeaderClient {
    /// A client of the replicas that the operator's file names.
    pub fn new(control: &ControlReplicas) -> io::Result<LeaderClient> {
        let socket = UdpSocket::bind(control.local_address()).map_err(add_context("the command's socket"))?;
        let order = control.replicas.iter().map(|(name, _)| node_id(name)).collect();
        let deadline = Instant::now() + TIMEOUT;
        Ok(LeaderClient {
            socket,
            replicas: KnownReplicas::new(LOG_NAME, control.addresses()),
            order,
            position: 0,
            deadline,
        })
    }

    /// A client of the control replica or relay at this address, whatever its id.
    pub fn at_address(address: SocketAddr) -> io::Result<LeaderClient> {
        let single = ControlReplicas { replicas: vec![(String::new(), address)], lease: 0, folder: None };
        Ok(LeaderClient {
            replicas: KnownReplicas::at_address(LOG_NAME, address),
            ..LeaderClient::new(&single)?
        })
    }

    /// Restarts the time limit, for a command that polls.
    pub fn restart_timeout(&mut self) {
        self.deadline = Instant::now() + TIMEOUT;
    }

    /// Sends a request to the leader until a matching response arrives; `None` at the time limit.
    pub fn request<T>(
        &mut self,
        request: &ControlMessage,
        classify: impl Fn(ControlMessage) -> ResponseKind<T>,
    ) -> io::Result<Option<T>> {
        let mut bytes = vec![0; message::MAX_DATAGRAM_BYTES + 1];
        let Some(datagram) = message::encode(request) else { return Ok(None) };
        while Instant::now() < self.deadline {
            let id = self.order.get(self.position % self.order.len().max(1)).copied();
            let to = id.and_then(|id| self.replicas.next_address(id));
            if let Some(to) = to {
                let _ = self.socket.send_to(&datagram, to);
            }
            self.socket.set_read_timeout(Some(ATTEMPT_TIMEOUT))?;
            let Ok((size, by)) = self.socket.recv_from(&mut bytes) else {
                self.position += 1;
                continue;
            };
            let message = match message::decode::<ControlMessage>(&bytes[..size]) {
                Ok(ControlMessage::ReplicaAddress { replica, address }) => {
                    if self.replicas.learn(by, replica, address) {
                        self.order.push(replica);
                    }
                    continue;
                }
                Ok(
                    ControlMessage::LeaseResponse { from, .. } | ControlMessage::RolloutResponse { from, .. },
                ) if !self.replicas.accepts(from, by) => continue,
                Ok(message) => message,
                Err(_) => continue,
            };
            match classify(message) {
                ResponseKind::Matching(response) => return Ok(Some(response)),
                ResponseKind::NotLeader(leader) => {
                    let leader_position = self.order.iter().position(|id| *id == leader);
                    if leader_position.is_none() {
                        std::thread::sleep(ATTEMPT_TIMEOUT / 6);
                    }
                    self.position = leader_position.unwrap_or(self.position + 1);
                }
                ResponseKind::Unrelated => {}
            }
        }
        Ok(None)
    }
}
