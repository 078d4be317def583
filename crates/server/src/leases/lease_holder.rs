//! An instance's end: its session with the keepers, on a socket of its own.

use super::known_replicas::KnownReplicas;
use super::wire::ControlMessage;
use super::{random_id, ControlReplicas, MonotonicClock};
use crate::sockets::add_context;
use cypresscleat_consensus::message;
use cypresscleat_leases::client::{LeaseClient, LeaseEvent};
use cypresscleat_leases::messages::Request;
use cypresscleat_leases::{node_id, Claim, NodeId, Partition, Time};
use std::collections::VecDeque;
use std::io;
use tokio::net::UdpSocket;
use tokio::time::{sleep_until, timeout};

pub struct LeaseHolder {
    socket: UdpSocket,
    replicas: KnownReplicas,
    pub clock: MonotonicClock,
    client: LeaseClient,
    events: VecDeque<LeaseEvent>,
    bytes: Vec<u8>,
}

impl LeaseHolder {
    pub async fn new(name: &str, set: &ControlReplicas, claims: Vec<Claim>) -> io::Result<LeaseHolder> {
        let socket = UdpSocket::bind(set.local_address()).await.map_err(add_context("the leases' socket"))?;
        let clock = MonotonicClock::start();
        let keepers = set.replicas.iter().map(|(name, _)| node_id(name)).collect();
        let client = LeaseClient::new(clock.now(), node_id(name), random_id(name), claims, keepers);
        let bytes = vec![0; message::MAX_DATAGRAM_BYTES + 1];
        let replicas = KnownReplicas::new(name, set.addresses());
        Ok(LeaseHolder { socket, replicas, clock, client, events: VecDeque::new(), bytes })
    }

    fn post(&mut self, requests: Vec<(NodeId, Request)>) {
        for (to, request) in requests {
            if let Some(to) = self.replicas.next_address(to) {
                super::send(&self.socket, to, &ControlMessage::LeaseRequest(request));
            }
        }
        self.events.extend(self.client.events());
    }

    /// To be asked before every act, right before it: the token under which it may be done now.
    pub fn valid_token(&self, partition: Partition) -> Option<u64> {
        self.client.valid_token(self.clock.now(), partition)
    }
    /// Until when what is owned is owned, unless it is renewed, by this clock.
    pub fn lease_ends_at(&self) -> Time {
        self.client.lease_ends_at()
    }
    pub fn save_cursor(&mut self, partition: Partition, cursor: Vec<u8>) -> Option<u64> {
        let ticket = self.client.save_cursor(partition, cursor);
        let requests = self.client.send_operations(self.clock.now());
        self.post(requests);
        ticket
    }
    pub fn release(&mut self, partition: Partition) {
        self.client.release(partition);
        let requests = self.client.send_operations(self.clock.now());
        self.post(requests);
    }

    /// What changed next, or `None` at `until`. May be dropped and called again at any time.
    pub async fn next_event(&mut self, until: Time) -> Option<LeaseEvent> {
        loop {
            let now = self.clock.now();
            if now >= self.client.next_deadline() {
                let requests = self.client.tick(now);
                self.post(requests);
            }
            if let Some(event) = self.events.pop_front() {
                return Some(event);
            }
            if now >= until {
                return None;
            }
            let due = self.clock.instant(until.min(self.client.next_deadline()));
            let got = tokio::select! {
                () = sleep_until(due) => continue,
                got = self.socket.recv_from(&mut self.bytes) => got,
            };
            let Ok((size, by)) = got else { continue }; // word of an earlier datagram that found nobody
            match message::decode::<ControlMessage>(&self.bytes[..size]) {
                Ok(ControlMessage::LeaseResponse { from, response }) if self.replicas.accepts(from, by) => {
                    let now = self.clock.now();
                    let requests = self.client.handle(now, from, response);
                    self.post(requests);
                }
                Ok(ControlMessage::ReplicaAddress { replica, address })
                    if self.replicas.learn(by, replica, address) =>
                {
                    self.client.add_replica(replica);
                }
                _ => {}
            }
        }
    }

    /// Gives all back, so that the next is ready at once; not for longer than a lease, as it ends by itself then.
    pub async fn leave(mut self) {
        let requests = self.client.leave(self.clock.now());
        self.post(requests);
        let told = async {
            while !self.client.has_left() {
                let soon = self.clock.now() + 100;
                self.next_event(soon).await;
            }
        };
        let _ = timeout(std::time::Duration::from_secs(1), told).await;
    }
}
