//! Reports to the service registry, less than a second apart, on a connection of their own so that they are not delayed
//! by other messages.

use crate::config::Addresses;
use crate::core::Shared;
use crate::counters::add;
use crate::http;
use crate::log;
use crate::sockets::write_all;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A registry entry expires 3 s after its last report: after two lost reports there is time for a third.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Backoff after a lost report: doubles with each loss up to the maximum, and is multiplied by a random factor from 0.5
/// to 1. A registry that returns hears from each server within `RESPONSE_TIMEOUT` and `MAX_BACKOFF`, 1.5 s together,
/// and not from all at once.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Delay after `lost` lost reports in a row. The name makes servers with the same seed differ.
pub fn backoff(seed: u64, name: &str, lost: u32) -> Duration {
    let mut hasher = DefaultHasher::new();
    (seed, name, lost).hash(&mut hasher);
    let jitter = 0.5 + (hasher.finish() >> 11) as f64 / (1u64 << 54) as f64;
    MIN_BACKOFF.saturating_mul(1 << lost.saturating_sub(1).min(16)).min(MAX_BACKOFF).mul_f64(jitter)
}

/// Reports to the registry for as long as the program runs.
pub async fn run(addresses: Rc<Addresses>, name: String, seed: u64, shared: Shared) {
    let mut stream: Option<TcpStream> = None;
    let mut lost_in_a_row = 0;
    let mut last_address = None;
    loop {
        let Some(address) = addresses.roster.get() else {
            addresses.roster_moved.notified().await;
            continue;
        };
        if last_address.replace(address) != Some(address) {
            stream = None; // the address has changed: nothing more is sent to the old one
        }
        let text = http::report_request(
            &address.to_string(),
            &name,
            shared.server_status.accepts_work.get() && shared.server_status.is_in_service.get(),
        );
        match timeout(RESPONSE_TIMEOUT, send_report(stream.take(), address, text.as_bytes())).await {
            Ok(Ok(connection)) => {
                add(&shared.counters.reports);
                shared.readiness.mark_reported();
                if std::mem::take(&mut lost_in_a_row) > 0 {
                    log!("the roster answers again");
                }
                stream = connection;
                let _ = timeout(REPORT_INTERVAL, addresses.roster_moved.notified()).await;
            }
            lost => {
                add(&shared.counters.reports_lost);
                lost_in_a_row += 1;
                if lost_in_a_row == 1 {
                    let why = match lost {
                        Ok(Err(error)) => error.to_string(),
                        _ => "no answer in time".to_string(),
                    };
                    log!("a report to the roster at {address} was lost: {why}; retrying");
                }
                // A registry at a new address is reported to at once.
                let _ = timeout(backoff(seed, &name, lost_in_a_row), addresses.roster_moved.notified()).await;
            }
        }
    }
}

/// Sends one report; returns the connection if it can be reused.
async fn send_report(
    connection: Option<TcpStream>,
    address: SocketAddr,
    text: &[u8],
) -> io::Result<Option<TcpStream>> {
    let stream = match connection {
        Some(stream) => stream,
        None => TcpStream::connect(address).await?,
    };
    write_all(&stream, text).await?;
    let (mut bytes, mut filled) = ([0; 1024], 0);
    loop {
        stream.readable().await?;
        match stream.try_read(&mut bytes[filled..]) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) => filled += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        }
        match http::parse_response(&bytes[..filled]) {
            Ok(Some(response)) if (200..300).contains(&response.status) => {
                return Ok((response.keep_alive && response.size == filled).then_some(stream));
            }
            Ok(None) if filled < bytes.len() => {}
            _ => return Err(ErrorKind::InvalidData.into()),
        }
    }
}
