//! An instance's session with the control replicas, on its own socket.

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

/// Holds the leases of an instance: a [`LeaseClient`] with its socket and clock.
pub struct LeaseHolder {
    socket: UdpSocket,
    replicas: KnownReplicas,
    pub clock: MonotonicClock,
    client: LeaseClient,
    events: VecDeque<LeaseEvent>,
    bytes: Vec<u8>,
}

impl LeaseHolder {
    /// Opens the socket; the session is opened by the first call of [`LeaseHolder::next_event`].
    pub async fn new(name: &str, control: &ControlReplicas, claims: Vec<Claim>) -> io::Result<LeaseHolder> {
        let socket =
            UdpSocket::bind(control.local_address()).await.map_err(add_context("the leases' socket"))?;
        let clock = MonotonicClock::start();
        let replica_ids = control.replicas.iter().map(|(name, _)| node_id(name)).collect();
        let client = LeaseClient::new(clock.now(), node_id(name), random_id(name), claims, replica_ids);
        let bytes = vec![0; message::MAX_DATAGRAM_BYTES + 1];
        let replicas = KnownReplicas::new(name, control.addresses());
        Ok(LeaseHolder { socket, replicas, clock, client, events: VecDeque::new(), bytes })
    }

    fn send_requests(&mut self, requests: Vec<(NodeId, Request)>) {
        for (to, request) in requests {
            if let Some(to) = self.replicas.next_address(to) {
                super::send(&self.socket, to, &ControlMessage::LeaseRequest(request));
            }
        }
        self.events.extend(self.client.events());
    }

    /// The fencing token under which an operation on the partition is allowed now. To be called right before each operation.
    pub fn valid_token(&self, partition: Partition) -> Option<u64> {
        self.client.valid_token(self.clock.now(), partition)
    }
    /// End of the lease by this holder's clock, unless the lease is renewed.
    pub fn lease_ends_at(&self) -> Time {
        self.client.lease_ends_at()
    }
    /// Saves the cursor of a partition and returns a ticket, see [`LeaseClient::save_cursor`].
    pub fn save_cursor(&mut self, partition: Partition, cursor: Vec<u8>) -> Option<u64> {
        let ticket = self.client.save_cursor(partition, cursor);
        let requests = self.client.send_operations(self.clock.now());
        self.send_requests(requests);
        ticket
    }
    /// Releases a partition, see [`LeaseClient::release`].
    pub fn release(&mut self, partition: Partition) {
        self.client.release(partition);
        let requests = self.client.send_operations(self.clock.now());
        self.send_requests(requests);
    }

    /// Waits for the next event; returns `None` at `until`. Cancel safe.
    pub async fn next_event(&mut self, until: Time) -> Option<LeaseEvent> {
        loop {
            let now = self.clock.now();
            if now >= self.client.next_deadline() {
                let requests = self.client.tick(now);
                self.send_requests(requests);
            }
            if let Some(event) = self.events.pop_front() {
                return Some(event);
            }
            if now >= until {
                return None;
            }
            let wake_at = self.clock.instant(until.min(self.client.next_deadline()));
            let received = tokio::select! {
                () = sleep_until(wake_at) => continue,
                received = self.socket.recv_from(&mut self.bytes) => received,
            };
            let Ok((size, by)) = received else { continue }; // an ICMP error for a datagram sent earlier
            match message::decode::<ControlMessage>(&self.bytes[..size]) {
                Ok(ControlMessage::LeaseResponse { from, response }) if self.replicas.accepts(from, by) => {
                    let now = self.clock.now();
                    let requests = self.client.handle(now, from, response);
                    self.send_requests(requests);
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

    /// Ends the session, so that other instances can own its partitions at once. Waits for the confirmation for at most a second: an
    /// unconfirmed session ends with its lease.
    pub async fn leave(mut self) {
        let requests = self.client.leave(self.clock.now());
        self.send_requests(requests);
        let confirmed = async {
            while !self.client.has_left() {
                let until = self.clock.now() + 100;
                self.next_event(until).await;
            }
        };
        let _ = timeout(std::time::Duration::from_secs(1), confirmed).await;
    }
}
