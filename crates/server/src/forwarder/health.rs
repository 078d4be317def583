//! Health checks of workers, each on a connection of its own. A worker reports whether it accepts work and, while it is warming up,
//! how many concurrency slots it reserves for this forwarder.

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

/// Interval between health checks of a worker.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before the next health check of a worker whose connection failed.
const RECHECK_DELAY: Duration = Duration::from_millis(20);
/// Maximum time until the load balancer gets the current grants, mode and health.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

impl WorkerFleet {
    /// Checks the health of each worker in a task of its own, and refreshes grants and mode in an endless loop.
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
                let (mut idle_connection, mut was_healthy): (Option<(TcpStream, u32)>, bool) = (None, false);
                loop {
                    let was_reused = idle_connection.is_some();
                    let mut is_healthy = fleet.check_health(worker, address, &mut idle_connection).await;
                    if !is_healthy && was_reused && idle_connection.is_none() {
                        is_healthy = fleet.check_health(worker, address, &mut idle_connection).await;
                        // the reused connection may have been closed: the check is repeated on a new one
                    }
                    if let Some(state) = fleet.workers.borrow_mut().get_mut(&worker) {
                        state.is_healthy = is_healthy;
                    }
                    if std::mem::replace(&mut was_healthy, is_healthy) != is_healthy {
                        log!("worker at {address} {}", if is_healthy { "takes work" } else { "takes none" });
                    }
                    fleet.refresh();
                    // The close of the idle connection shows the end of the worker before the next health check.
                    let recheck_now = tokio::select! {
                        () = tokio::time::sleep(HEALTH_CHECK_INTERVAL) => false,
                        () = recheck.notified() => true,
                        () = wait_for_close(idle_connection.as_ref().map(|idle_connection| &idle_connection.0)) => true,
                    };
                    if recheck_now {
                        idle_connection = None;
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

    /// Checks one worker and stores its reservation. Returns whether the worker accepts work. The connection is retained if it can
    /// be reused.
    async fn check_health(
        &self,
        worker: NodeId,
        address: SocketAddr,
        idle_connection: &mut Option<(TcpStream, u32)>,
    ) -> bool {
        let requested_at = self.clock.now();
        let in_flight = self.balancer.borrow().in_flight_at(worker);
        if let Some(state) = self.workers.borrow_mut().get_mut(&worker) {
            state.reserved.iter_mut().for_each(ReservedCapacity::invalidate);
        }
        self.refresh();
        let payload = frames::slow_start_request(self.own_id, in_flight);
        let Ok(Ok((is_healthy, reserved_slots, stream))) =
            timeout(HEALTH_CHECK_INTERVAL, query_health(idle_connection.take(), address, &payload)).await
        else {
            return false;
        };
        *idle_connection = Some(stream);
        if let Some(state) = self.workers.borrow_mut().get_mut(&worker) {
            state.reserved = reserved_slots.map(|slots| {
                let mut reserved = ReservedCapacity::default();
                reserved.accept(requested_at, slots);
                reserved
            });
        }
        is_healthy
    }
}

/// Returns once the idle connection is closed or receives data without a request.
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

async fn query_health(
    idle_connection: Option<(TcpStream, u32)>,
    address: SocketAddr,
    payload: &[u8],
) -> io::Result<(bool, Option<u32>, (TcpStream, u32))> {
    let (stream, number) = match idle_connection {
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
            Ok(count) => filled += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        }
        match frames::next_frame(&bytes[..filled], bytes.len()) {
            NextFrame::Incomplete if filled < bytes.len() => {}
            NextFrame::Frame { kind: frames::HEALTH_RESPONSE, payload, .. } => {
                let is_healthy = payload.first() == Some(&frames::SUCCEEDED);
                return Ok((is_healthy, frames::parse_slow_start_response(payload), (stream, number)));
            }
            // The worker announced the close of this connection: the next check opens a new one.
            _ => return Err(ErrorKind::InvalidData.into()),
        }
    }
}
