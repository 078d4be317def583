//! Datagrams between members: membership, load reports, grants. This is the forwarder's side; the planner's is `crate::planner`.

use super::worker_fleet::WorkerFleet;
use super::TierConfig;
use crate::clock::Clock;
use crate::log;
use crate::rollout::admission_gate::AdmissionGate;
use crate::sockets::add_context;
use cypresscleat_forwarding::grants::{GrantHeader, GRANT_RENEWAL_INTERVAL};
use cypresscleat_forwarding::membership::{Membership, MembershipConfig, OutgoingMessage};
use cypresscleat_forwarding::messages::{self, Decoded, Envelope, LoadReport, Message, Role};
use cypresscleat_forwarding::{node_id, Time};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::time::{sleep_until, Instant};

/// One socket, and the membership behind it.
pub struct ClusterSocket {
    pub socket: UdpSocket,
    pub members: Membership,
    clock: Clock,
    bytes: Vec<u8>,
    /// Where a policy of the fleet is in force: what is said names its version, and what is heard has to.
    pub gate: Option<Rc<AdmissionGate>>,
    /// The unlike version that was last told of.
    unlike: Option<(u64, u64)>,
}

impl ClusterSocket {
    pub async fn new(
        name: &str,
        role: Role,
        tier: &TierConfig,
        clock: Clock,
        seed: u64,
    ) -> io::Result<ClusterSocket> {
        let named = add_context(format_args!("tier.listen {}", tier.listen).to_string());
        let socket = UdpSocket::bind(tier.listen).await.map_err(named)?;
        let own = socket.local_addr()?;
        log!("{} hears members at {own}", name);
        let seeds = tier.planners.iter().map(|planner| planner.address).collect();
        let members = Membership::new(node_id(name), role, own, seeds, MembershipConfig::default(), seed);
        let bytes = vec![0; messages::MAX_MESSAGE_BYTES + 8];
        Ok(ClusterSocket { socket, members, clock, bytes, gate: None, unlike: None })
    }

    /// Sends what fits; what is lost is lost, as any datagram.
    pub fn send(&self, all: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, envelope } in all {
            let mut bytes = Vec::new();
            if messages::encode(&mut bytes, &envelope) {
                let _ = self.socket.try_send_to(&bytes, to);
            }
        }
    }

    /// An envelope of our own, to be filled by whoever decides.
    pub fn envelope(&self, message: Message) -> Envelope {
        let own = self.members.own();
        let message = match &self.gate {
            Some(gate) => Message::WithPolicyVersion {
                version: gate.version().unwrap_or(0),
                message: Box::new(message),
            },
            None => message,
        };
        Envelope { from: own.id, incarnation: own.incarnation, updates: Vec::new(), message }
    }

    /// A report or grants that may be gone by. Grants under another version than ours are not used: what they give out was counted
    /// under other rules. Reports are: they tell what came and what was seen.
    fn under(&mut self, message: Message) -> Option<Message> {
        let (said, message) = match message {
            Message::WithPolicyVersion { version, message } => (Some(version), *message),
            message => (None, message),
        };
        if !matches!(message, Message::Report(_) | Message::Grants { .. }) {
            return None;
        }
        let Some(gate) = &self.gate else { return Some(message) };
        let (said, own) = (said.unwrap_or(0), gate.version().unwrap_or(0));
        let unlike = (said != own).then_some((said, own));
        if self.unlike != unlike {
            match unlike {
                Some((said, own)) => {
                    log!("hears of policy {said}, and goes by policy {own}: its grants are not used")
                }
                None => log!("all that is heard is under policy {own} again"),
            }
            self.unlike = unlike;
        }
        (unlike.is_none() || matches!(message, Message::Report(_))).then_some(message)
    }

    /// The next message that is none of membership's own, or `None` at `until`.
    pub async fn hear(&mut self, until: Time) -> Option<(SocketAddr, Envelope)> {
        loop {
            let now = self.clock.now();
            if now >= self.members.next_deadline() {
                let out = self.members.tick(now);
                self.send(out);
                for change in self.members.take_changes() {
                    log!("member {:016x}, a {:?}: {:?}", change.id, change.role, change.to);
                }
            }
            if now >= until {
                return None;
            }
            let due = self.clock.instant(until.min(self.members.next_deadline()));
            let (size, from) = tokio::select! {
                () = sleep_until(Instant::from_std(due)) => continue,
                got = self.socket.recv_from(&mut self.bytes) => match got {
                    Ok(got) => got,
                    Err(_) => continue, // word of an earlier datagram that found nobody
                },
            };
            let Decoded::Message(envelope, read) = messages::decode(&self.bytes[..size]) else { continue };
            if read != size {
                continue;
            }
            let now = self.clock.now();
            let out = self.members.handle(now, from, &envelope);
            self.send(out);
            if let Some(message) = self.under(envelope.message) {
                return Some((from, Envelope { message, ..envelope }));
            }
        }
    }
}

/// Reports to all planners of the operator's file and takes their grants, for as long as the program lives.
pub async fn run_forwarder(mut talk: ClusterSocket, fleet: Rc<WorkerFleet>, tier: TierConfig) {
    let mut next = talk.clock.now();
    let mut last = next;
    loop {
        let heard = talk.hear(next).await;
        let now = talk.clock.now();
        // Guards the workers against grants from whoever reaches this port: only the planners that are asked may give any.
        let is_planner = |from: &SocketAddr| tier.planners.iter().any(|planner| planner.address == *from);
        if let Some((
            _,
            Envelope { message: Message::Grants { epoch, number, report, duration, grants }, .. },
        )) = heard.as_ref().filter(|(from, _)| is_planner(from))
        {
            let header = GrantHeader { epoch: *epoch, number: *number, duration: *duration };
            let accepted = fleet.grants.borrow_mut().accept(now, header, *report, grants);
            if accepted.is_ok() {
                fleet.refresh();
            }
        }
        if now < next {
            continue;
        }
        next = now + GRANT_RENEWAL_INTERVAL;
        fleet.forwarders.set(talk.members.present_with_role(Role::Forwarder).count() + 1);
        let span = (now - std::mem::replace(&mut last, now)) as f64 / 10_000.0;
        let number = fleet.grants.borrow_mut().start_report(now);
        let epoch = fleet.grants.borrow().epoch();
        let report = LoadReport {
            number,
            demands: fleet.demands(span),
            observations: fleet.observations(span),
            epoch,
        };
        for planner in &tier.planners {
            let envelope = talk.envelope(Message::Report(report.clone()));
            talk.send(vec![OutgoingMessage { to: planner.address, envelope }]);
        }
    }
}
