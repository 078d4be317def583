//! What a datagram to or from a keeper holds, and a question asked of whichever keeper leads.

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

/// The first three are as `leases::messages::Datagram` has them; what is later comes behind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Between keepers.
    Consensus(Message),
    /// To a keeper.
    LeaseRequest(messages::Request),
    /// From a keeper, whose number goes with it.
    LeaseResponse {
        from: NodeId,
        response: messages::Response,
    },
    RolloutRequest(policies::Request),
    RolloutResponse {
        from: NodeId,
        response: policies::Response,
    },
    /// Where a keeper hears, said ahead of the word that it leads: it may have come since whoever asks was started.
    ReplicaAddress {
        replica: NodeId,
        address: SocketAddr,
    },
}

/// ControlReplicas that an instance knows, at the most: those of its own file, and those that came later.
const KNOWN: usize = 32;

/// Takes over where a keeper hears, said by one that is known. True where it was not known.
pub fn learn_address(
    known: &mut HashMap<NodeId, SocketAddr>,
    said_by: SocketAddr,
    replica: NodeId,
    at: SocketAddr,
) -> bool {
    let trusted = known.values().any(|address| *address == said_by);
    if !trusted || known.contains_key(&replica) || known.len() >= KNOWN {
        return false;
    }
    known.insert(replica, at);
    true
}

/// For all questions of one asker; a quorum that does not answer by then counts as none.
const PATIENCE: Duration = Duration::from_secs(3);
const TRY: Duration = Duration::from_millis(300);

/// Whose log lines those of a command are.
const ASKER: &str = "command";

/// What an answer is to whoever asked.
pub enum ResponseKind<T> {
    Matching(T),
    /// Another keeper leads, as far as that one knows.
    NotLeader(NodeId),
    Unrelated,
}

/// Asks the keeper that leads, for a command of an operator.
pub struct LeaderClient {
    socket: UdpSocket,
    /// Those of the file, and those that came later.
    replicas: KnownReplicas,
    order: Vec<NodeId>,
    at: usize,
    until: Instant,
}

impl LeaderClient {
    pub fn new(keepers: &ControlReplicas) -> io::Result<LeaderClient> {
        let socket = UdpSocket::bind(keepers.local_address()).map_err(add_context("the command's socket"))?;
        let order = keepers.replicas.iter().map(|(name, _)| node_id(name)).collect();
        let until = Instant::now() + PATIENCE;
        Ok(LeaderClient {
            socket,
            replicas: KnownReplicas::new(ASKER, keepers.addresses()),
            order,
            at: 0,
            until,
        })
    }

    /// Asks whoever receives at this address, under whatever name.
    pub fn at_address(address: SocketAddr) -> io::Result<LeaderClient> {
        let named = ControlReplicas { replicas: vec![(String::new(), address)], lease: 0, folder: None };
        Ok(LeaderClient { replicas: KnownReplicas::at_address(ASKER, address), ..LeaderClient::new(&named)? })
    }

    /// Its patience begins anew: for a command that looks again and again.
    pub fn restart_timeout(&mut self) {
        self.until = Instant::now() + PATIENCE;
    }

    /// The answer that fits, from the keeper that leads.
    pub fn request<T>(
        &mut self,
        request: &ControlMessage,
        read: impl Fn(ControlMessage) -> ResponseKind<T>,
    ) -> io::Result<Option<T>> {
        let mut bytes = vec![0; message::MAX_DATAGRAM_BYTES + 1];
        let Some(datagram) = message::encode(request) else { return Ok(None) };
        while Instant::now() < self.until {
            let id = self.order.get(self.at % self.order.len().max(1)).copied();
            let to = id.and_then(|id| self.replicas.next_address(id));
            if let Some(to) = to {
                let _ = self.socket.send_to(&datagram, to);
            }
            self.socket.set_read_timeout(Some(TRY))?;
            let Ok((size, by)) = self.socket.recv_from(&mut bytes) else {
                self.at += 1;
                continue;
            };
            let wire = match message::decode::<ControlMessage>(&bytes[..size]) {
                Ok(ControlMessage::ReplicaAddress { replica, address }) => {
                    if self.replicas.learn(by, replica, address) {
                        self.order.push(replica);
                    }
                    continue;
                }
                Ok(
                    ControlMessage::LeaseResponse { from, .. } | ControlMessage::RolloutResponse { from, .. },
                ) if !self.replicas.accepts(from, by) => continue,
                Ok(wire) => wire,
                Err(_) => continue,
            };
            match read(wire) {
                ResponseKind::Matching(response) => return Ok(Some(response)),
                ResponseKind::NotLeader(leader) => {
                    let led = self.order.iter().position(|one| *one == leader);
                    if led.is_none() {
                        std::thread::sleep(TRY / 6);
                    }
                    self.at = led.unwrap_or(self.at + 1);
                }
                ResponseKind::Unrelated => {}
            }
        }
        Ok(None)
    }
}
