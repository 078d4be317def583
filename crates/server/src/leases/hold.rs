//! An instance's end: its session with the keepers, on a socket of its own.

use super::wire::{learns, Wire};
use super::{drawn, Keepers, Steady};
use cypresscleat_consensus::message;
use cypresscleat_leases::holder::{Event, Holder};
use cypresscleat_leases::said::Ask;
use cypresscleat_leases::{node_id, NodeId, Part, Time, Want};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use tokio::time::{sleep_until, timeout};

pub struct Hold {
    socket: UdpSocket,
    to: HashMap<NodeId, SocketAddr>,
    pub clock: Steady,
    holder: Holder,
    events: VecDeque<Event>,
    bytes: Vec<u8>,
}

impl Hold {
    pub async fn new(name: &str, set: &Keepers, wants: Vec<Want>) -> io::Result<Hold> {
        let socket = UdpSocket::bind(set.from()).await?;
        let clock = Steady::start();
        let keepers = set.all.iter().map(|(name, _)| node_id(name)).collect();
        let holder = Holder::new(clock.now(), node_id(name), drawn(name), wants, keepers);
        let bytes = vec![0; message::MAX_DATAGRAM_BYTES + 1];
        Ok(Hold { socket, to: set.addresses(), clock, holder, events: VecDeque::new(), bytes })
    }

    fn post(&mut self, asks: Vec<(NodeId, Ask)>) {
        for (to, ask) in asks {
            if let Some(to) = self.to.get(&to) {
                super::send(&self.socket, *to, &Wire::Ask(ask));
            }
        }
        self.events.extend(self.holder.events());
    }

    /// To be asked before every act, right before it: the token under which it may be done now.
    pub fn may(&self, part: Part) -> Option<u64> {
        self.holder.may(self.clock.now(), part)
    }
    /// Until when what is owned is owned, unless it is renewed, by this clock.
    pub fn until(&self) -> Time {
        self.holder.until()
    }
    pub fn cursor(&mut self, part: Part, cursor: Vec<u8>) -> Option<u64> {
        let ticket = self.holder.cursor(part, cursor);
        let asks = self.holder.sends(self.clock.now());
        self.post(asks);
        ticket
    }
    pub fn release(&mut self, part: Part) {
        self.holder.release(part);
        let asks = self.holder.sends(self.clock.now());
        self.post(asks);
    }

    /// What changed next, or `None` at `until`. May be dropped and called again at any time.
    pub async fn next(&mut self, until: Time) -> Option<Event> {
        loop {
            let now = self.clock.now();
            if now >= self.holder.due() {
                let asks = self.holder.tick(now);
                self.post(asks);
            }
            if let Some(event) = self.events.pop_front() {
                return Some(event);
            }
            if now >= until {
                return None;
            }
            let due = self.clock.instant(until.min(self.holder.due()));
            let got = tokio::select! {
                () = sleep_until(due) => continue,
                got = self.socket.recv_from(&mut self.bytes) => got,
            };
            let Ok((size, by)) = got else { continue }; // word of an earlier datagram that found nobody
            match message::decode::<Wire>(&self.bytes[..size]) {
                Ok(Wire::Answer { from, answer }) => {
                    let now = self.clock.now();
                    let asks = self.holder.hear(now, from, answer);
                    self.post(asks);
                }
                Ok(Wire::At { keeper, address }) if learns(&mut self.to, by, keeper, address) => {
                    self.holder.knows(keeper);
                }
                _ => {}
            }
        }
    }

    /// Gives all back, so that the next is ready at once; not for longer than a lease, as it ends by itself then.
    pub async fn leaves(mut self) {
        let asks = self.holder.leaves(self.clock.now());
        self.post(asks);
        let told = async {
            while !self.holder.left() {
                let soon = self.clock.now() + 100;
                self.next(soon).await;
            }
        };
        let _ = timeout(std::time::Duration::from_secs(1), told).await;
    }
}
