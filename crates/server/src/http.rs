//! The service registry's HTTP/1.1: writes reports and parses responses. Performs no I/O.

/// Builds the request that reports whether this server accepts work.
pub fn report_request(host: &str, name: &str, accepts_work: bool) -> String {
    let body = if accepts_work { "{\"duty\":\"on\"}" } else { "{\"duty\":\"off\"}" };
    let length = body.len();
    format!(
        "PUT /roster/{name} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

/// A response: its status, its size in bytes, and whether the connection may carry another request.
#[derive(Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    pub size: usize,
    pub keep_alive: bool,
}

/// Returns `Ok(None)` while the response is incomplete.
pub fn parse_response(bytes: &[u8]) -> Result<Option<Response>, String> {
    let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else { return Ok(None) };
    let head = std::str::from_utf8(&bytes[..end]).map_err(|_| "the header is not valid UTF-8")?;
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("");
    let mut words = first.split(' ');
    let version = words.next().unwrap_or("");
    let status =
        words.next().and_then(|word| word.parse().ok()).ok_or(format!("invalid status line {first:?}"))?;
    if !version.starts_with("HTTP/1.") {
        return Err(format!("invalid status line {first:?}"));
    }
    let (mut length, mut keep_alive) = (0, version == "HTTP/1.1");
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") {
            length = value.parse().map_err(|_| format!("invalid content length {value:?}"))?;
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            // The end of a chunked body is not looked for: the connection is not reused.
            return Ok(Some(Response { status, size: bytes.len(), keep_alive: false }));
        } else if name.eq_ignore_ascii_case("connection") {
            keep_alive = !value.eq_ignore_ascii_case("close");
        }
    }
    let bodiless = status == 204 || status == 304 || status < 200;
    let size = end + 4 + if bodiless { 0 } else { length };
    Ok((bytes.len() >= size).then_some(Response { status, size, keep_alive }))
}
