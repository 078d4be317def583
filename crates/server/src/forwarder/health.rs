//! Health of workers: each is asked on a connection of its own, and tells whether it accepts work and, while it is warming up, how
//! much it reserves for this forwarder.

use super::worker_fleet::WorkerFleet;
use crate::frames::{self, NextFrame};
use crate::log;
use crate::sockets::write_all;
use cypresscleat_forwarding::slow_start::ReservedCapacity;
use cypresscleat_forwarding::NodeId;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Workers are asked so often.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// One whose connection broke is asked again after this long.
const RECHECK_DELAY: Duration = Duration::from_millis(20);
/// Grants, mode and health are taken over at least this often.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

impl WorkerFleet {
    /// Asks each worker for its health, on a connection of its own, and looks at grants and mode.
    pub async fn watch_health(self: Rc<WorkerFleet>) {
        let workers: Vec<(NodeId, SocketAddr, Rc<Notify>)> = self
            .workers
            .borrow()
            .iter()
            .map(|(worker, state)| (*worker, state.address, state.recheck.clone()))
            .collect();
        for (worker, address, recheck) in workers {
            let fleet = self.clone();
            tokio::task::spawn_local(async move {
                let (mut kept, mut told): (Option<(TcpStream, u32)>, bool) = (None, false);
                loop {
                    let used = kept.is_some();
                    let mut good = fleet.check_health(worker, address, &mut kept).await;
                    if !good && used && kept.is_none() {
                        good = fleet.check_health(worker, address, &mut kept).await;
                        // that connection may have been the fault
                    }
                    if let Some(state) = fleet.workers.borrow_mut().get_mut(&worker) {
                        state.is_healthy = good;
                    }
                    if std::mem::replace(&mut told, good) != good {
                        log!("worker at {address} {}", if good { "takes work" } else { "takes none" });
                    }
                    fleet.refresh();
                    // Its end is seen on the connection that rests, ahead of the next question.
                    let early = tokio::select! {
                        () = tokio::time::sleep(HEALTH_CHECK_INTERVAL) => false,
                        () = recheck.notified() => true,
                        () = wait_for_close(kept.as_ref().map(|kept| &kept.0)) => true,
                    };
                    if early {
                        kept = None;
                        if let Some(state) = fleet.workers.borrow_mut().get_mut(&worker) {
                            state.is_healthy = false;
                        }
                        fleet.refresh();
                        tokio::time::sleep(RECHECK_DELAY).await;
                    }
                }
            });
        }
        loop {
            self.refresh();
            tokio::time::sleep(REFRESH_INTERVAL).await;
        }
    }

    /// Asks one worker; its reservation is taken over. True where it accepts work; the connection is kept where it may be used again.
    async fn check_health(
        &self,
        worker: NodeId,
        address: SocketAddr,
        kept: &mut Option<(TcpStream, u32)>,
    ) -> bool {
        let asked = self.clock.now();
        let out = self.balancer.borrow().in_flight_at(worker);
        if let Some(state) = self.workers.borrow_mut().get_mut(&worker) {
            state.reserved.iter_mut().for_each(ReservedCapacity::invalidate);
        }
        self.refresh();
        let payload = frames::slow_start_request(self.own, out);
        let Ok(Ok((good, ramp, stream))) =
            timeout(HEALTH_CHECK_INTERVAL, ask_health(kept.take(), address, &payload)).await
        else {
            return false;
        };
        *kept = Some(stream);
        if let Some(state) = self.workers.borrow_mut().get_mut(&worker) {
            state.reserved = ramp.map(|slots| {
                let mut reserved = ReservedCapacity::default();
                reserved.accept(asked, slots);
                reserved
            });
        }
        good
    }
}

/// Comes back once a connection that rests has ended, or something came on it that nobody asked for.
async fn wait_for_close(stream: Option<&TcpStream>) {
    let Some(stream) = stream else { return std::future::pending().await };
    loop {
        let ready = stream.readable().await;
        match stream.try_read(&mut [0]) {
            Err(error) if ready.is_ok() && error.kind() == ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}

async fn ask_health(
    kept: Option<(TcpStream, u32)>,
    address: SocketAddr,
    payload: &[u8],
) -> io::Result<(bool, Option<u32>, (TcpStream, u32))> {
    let (stream, number) = match kept {
        Some((stream, number)) => (stream, number + 1),
        None => (TcpStream::connect(address).await?, 1),
    };
    let mut frame = Vec::new();
    frames::write_frame(&mut frame, frames::HEALTH_CHECK, number, payload);
    write_all(&stream, &frame).await?;
    let (mut bytes, mut filled) = ([0; 512], 0);
    loop {
        stream.readable().await?;
        match stream.try_read(&mut bytes[filled..]) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(many) => filled += many,
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        }
        match frames::next_frame(&bytes[..filled], bytes.len()) {
            NextFrame::Incomplete if filled < bytes.len() => {}
            NextFrame::Frame { kind: frames::HEALTH_RESPONSE, payload, .. } => {
                let good = payload.first() == Some(&frames::SUCCEEDED);
                return Ok((good, frames::parse_slow_start_response(payload), (stream, number)));
            }
            // Told to send no more on this connection: a new one next time.
            _ => return Err(ErrorKind::InvalidData.into()),
        }
    }
}
