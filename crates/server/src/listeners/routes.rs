//! Translates a gateway's request: finds its route, reads its headers, and applies defaults. Performs no I/O.

use crate::core::incoming::{IncomingRequest, RequestId};
use crate::frames::{is_visible_ascii, MAX_IDEMPOTENCY_KEY_BYTES};
use crate::pool::Buf;
use cypresscleat_scgi::request::Request;
use cypresscleat_scheduler::Time;
use std::rc::Rc;

/// A header, by its name at the gateway, and the value that applies without it.
#[derive(Clone, Debug, PartialEq)]
pub struct HeaderOr<T> {
    pub header: Option<String>,
    pub default_value: T,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Matches this path and all paths below it.
    pub path: String,
    pub methods: Vec<String>,
    pub class: usize,
    pub tenant: HeaderOr<Option<usize>>,
    /// From 0 to less than 1.
    pub client_priority: HeaderOr<f64>,
    /// How long the client still waits; the header is in milliseconds.
    pub timeout: HeaderOr<Option<Time>>,
    /// Expected work; the header is in milliseconds on one core.
    pub expected_work: HeaderOr<Option<Time>>,
    /// Memory reserved while the request is held, in KB.
    pub memory_kb: f64,
    pub content_type: String,
    /// The header with the idempotency key, for a class that requires one; a request without it is invalid.
    pub idempotency_key_header: Option<String>,
}

/// Routes, with the longest path first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    all: Vec<Rc<Route>>,
    tenants: Vec<String>,
}

/// Why a request has no route or is invalid.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteError {
    /// No route has this path.
    UnknownPath,
    /// A route has this path, for the methods listed.
    MethodNotAllowed(String),
    /// The request is invalid, for this reason.
    Invalid(String),
}

/// Maximum timeout and expected work, an hour in milliseconds: no client waits longer, no run takes longer.
const MAX_TIMEOUT_MS: f64 = 3.6e6;

impl Routes {
    /// `tenants` are the names in the settings.
    pub fn new(routes: Vec<Route>, tenants: &[String]) -> Routes {
        let mut all: Vec<Rc<Route>> = routes.into_iter().map(Rc::new).collect();
        all.sort_by_key(|route| std::cmp::Reverse(route.path.len()));
        Routes { all, tenants: tenants.to_vec() }
    }

    /// Returns whether a route to this class reads no idempotency key.
    pub fn lacks_idempotency_key(&self, class: usize) -> bool {
        self.all.iter().any(|route| route.class == class && route.idempotency_key_header.is_none())
    }

    /// Finds the route for a path and a method.
    pub fn find(&self, path: &str, method: &str) -> Result<&Rc<Route>, RouteError> {
        let covers = |route: &&Rc<Route>| match path.strip_prefix(route.path.as_str()) {
            Some(rest) => rest.is_empty() || rest.starts_with('/') || route.path.ends_with('/'),
            None => false,
        };
        // Considers all methods of the longest matching path; a shorter path never takes its place.
        let first = self.all.iter().find(covers).ok_or(RouteError::UnknownPath)?;
        let mut same = self.all.iter().filter(|route| route.path == first.path);
        let allows_method = |route: &&Rc<Route>| route.methods.iter().any(|known| known == method);
        same.clone().find(allows_method).ok_or_else(|| {
            let methods: Vec<&str> =
                same.by_ref().flat_map(|route| &route.methods).map(String::as_str).collect();
            RouteError::MethodNotAllowed(methods.join(", "))
        })
    }

    /// Parses the request in `bytes`, which `request` refers to, and finds its route.
    pub fn parse_request(
        &self,
        request_id: RequestId,
        arrived_at: Time,
        bytes: &Buf,
        request: &Request,
    ) -> Result<(Rc<Route>, ParsedRequest), RouteError> {
        let text_field = |name: &str| match request.field(name) {
            None => Ok(None),
            Some(value) => match std::str::from_utf8(value) {
                Ok(value) => Ok(Some(value)),
                Err(_) => Err(RouteError::Invalid(format!("{name} is no text"))),
            },
        };
        let method = text_field("REQUEST_METHOD")?.ok_or(RouteError::Invalid("no REQUEST_METHOD".into()))?;
        // Gateways pass the path in one of three ways; with a mount point it is the mount point and the rest behind it.
        let path = match (
            text_field("SCRIPT_NAME")?,
            text_field("PATH_INFO")?,
            text_field("DOCUMENT_URI")?,
            text_field("REQUEST_URI")?,
        ) {
            (Some(script), info, ..) => format!("{script}{}", info.unwrap_or("")),
            (None, Some(info), ..) => info.to_string(),
            (None, None, Some(path), _) => path.to_string(),
            (None, None, None, Some(uri)) => uri.split('?').next().unwrap_or("").to_string(),
            _ => {
                return Err(RouteError::Invalid(
                    "no SCRIPT_NAME, PATH_INFO, DOCUMENT_URI or REQUEST_URI".into(),
                ))
            }
        };
        let route = self.find(&path, method)?;
        let header_value = |header: &Option<String>| match header {
            None => Ok(None),
            Some(name) => Ok(text_field(name)?.filter(|value| !value.is_empty())),
        };
        let number_field =
            |header: &Option<String>, max: f64, is_exclusive: bool| -> Result<Option<f64>, RouteError> {
                let Some(value) = header_value(header)? else { return Ok(None) };
                match value.parse::<f64>() {
                    Ok(number) if (0.0..=max).contains(&number) && !(is_exclusive && number == max) => {
                        Ok(Some(number))
                    }
                    _ => Err(RouteError::Invalid(format!("{} {value:?}", header.as_deref().unwrap_or("")))),
                }
            };
        let to_time = |value: f64| (value * 10.0) as Time;
        let tenant = match header_value(&route.tenant.header)? {
            None => route.tenant.default_value,
            Some(name) => match self.tenants.iter().position(|known| known == name) {
                None => return Err(RouteError::Invalid(format!("customer {name:?}"))),
                known => known,
            },
        };
        let timeout = number_field(&route.timeout.header, MAX_TIMEOUT_MS, false)?.map(to_time);
        let expected_work = number_field(&route.expected_work.header, MAX_TIMEOUT_MS, false)?
            .map(to_time)
            .or(route.expected_work.default_value);
        let client_priority = number_field(&route.client_priority.header, 1.0, true)?
            .unwrap_or(route.client_priority.default_value);
        let idempotency_key = match &route.idempotency_key_header {
            None => None,
            Some(name) => match header_value(&route.idempotency_key_header)? {
                Some(idempotency_key)
                    if idempotency_key.len() <= MAX_IDEMPOTENCY_KEY_BYTES
                        && is_visible_ascii(idempotency_key) =>
                {
                    Some(idempotency_key.into())
                }
                Some(idempotency_key) => {
                    return Err(RouteError::Invalid(format!("{name} {idempotency_key:?}")))
                }
                None => return Err(RouteError::Invalid(format!("no {name}"))),
            },
        };
        // The body is the content, or else the query: a GET has no content, and its parameters follow the path.
        let body = match request.body {
            b"" => request.field("QUERY_STRING").unwrap_or(b""),
            body => body,
        };
        let start = if body.is_empty() { 0 } else { body.as_ptr() as usize - bytes.as_ptr() as usize };
        let parsed = ParsedRequest {
            request_id,
            arrived_at,
            class: route.class,
            tenant,
            remaining_timeout: timeout.or(route.timeout.default_value),
            client_priority,
            expected_work: expected_work.filter(|expected_work| *expected_work > 0),
            memory_kb: route.memory_kb,
            idempotency_key,
            body: start..start + body.len(),
        };
        Ok((route.clone(), parsed))
    }
}

/// A parsed request without the buffer that holds its body.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedRequest {
    request_id: RequestId,
    arrived_at: Time,
    class: usize,
    tenant: Option<usize>,
    remaining_timeout: Option<Time>,
    client_priority: f64,
    expected_work: Option<Time>,
    memory_kb: f64,
    idempotency_key: Option<Box<str>>,
    body: std::ops::Range<usize>,
}

impl ParsedRequest {
    /// Adds the buffer that was parsed.
    pub fn with_buffer(self, bytes: Buf) -> IncomingRequest {
        let ParsedRequest {
            request_id,
            arrived_at,
            class,
            tenant,
            remaining_timeout,
            client_priority,
            expected_work,
            memory_kb,
            idempotency_key,
            body,
        } = self;
        let expected_work = expected_work.map(|expected_work| expected_work as f64);
        IncomingRequest {
            request_id,
            class,
            tenant,
            arrived_at,
            remaining_timeout,
            client_priority,
            expected_work,
            memory_kb,
            has_item: false,
            idempotency_key,
            subject: None,
            is_frame_payload: false,
            bytes,
            body,
        }
    }
}
