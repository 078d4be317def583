//! From a gateway's request to an invocation: which route, what its headers say, what holds where they say nothing.
//! No I/O.

use crate::core::door::{Invocation, Txn};
use crate::frames::{is_word, TOKEN};
use crate::pool::Buf;
use cypresscleat_scgi::request::Request;
use cypresscleat_scheduler::Time;
use std::rc::Rc;

/// A header, as the gateway names it, and what holds without it.
#[derive(Clone, Debug, PartialEq)]
pub struct From<T> {
    pub header: Option<String>,
    pub otherwise: T,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Matches itself and all below it.
    pub path: String,
    pub methods: Vec<String>,
    pub op: usize,
    pub customer: From<Option<usize>>,
    /// From 0 to under 1.
    pub rank: From<f64>,
    /// How long the caller still waits; the header tells milliseconds.
    pub within: From<Option<Time>>,
    /// Work to expect; the header tells milliseconds on one core.
    pub hint: From<Option<Time>>,
    /// Memory booked while it is held, in KB.
    pub kb: f64,
    pub content_type: String,
    /// The header that brings the token of a tokened operation; without it a request is none.
    pub token: Option<String>,
}

/// The longest path comes first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    all: Vec<Rc<Route>>,
    customers: Vec<String>,
}

/// Why a request is no invocation.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// No route has this path.
    Path,
    /// A route has this path, for these methods.
    Method(String),
    /// What is wrong with it.
    Wrong(String),
}

/// An hour: nobody waits longer, no run takes longer.
const LONGEST_MS: f64 = 3.6e6;

impl Routes {
    /// `customers` by their names in the settings.
    pub fn new(routes: Vec<Route>, customers: &[String]) -> Routes {
        let mut all: Vec<Rc<Route>> = routes.into_iter().map(Rc::new).collect();
        all.sort_by_key(|route| std::cmp::Reverse(route.path.len()));
        Routes { all, customers: customers.to_vec() }
    }

    /// Whether a route to this operation asks for no token.
    pub fn lacks_token(&self, op: usize) -> bool {
        self.all.iter().any(|route| route.op == op && route.token.is_none())
    }

    pub fn find(&self, path: &str, method: &str) -> Result<&Rc<Route>, Refusal> {
        let below = |route: &&Rc<Route>| match path.strip_prefix(route.path.as_str()) {
            Some(rest) => rest.is_empty() || rest.starts_with('/') || route.path.ends_with('/'),
            None => false,
        };
        // Of the longest path that fits, all methods; a shorter one never stands in for it.
        let first = self.all.iter().find(below).ok_or(Refusal::Path)?;
        let mut same = self.all.iter().filter(|route| route.path == first.path);
        let fits = |route: &&Rc<Route>| route.methods.iter().any(|known| known == method);
        same.clone().find(fits).ok_or_else(|| {
            let methods: Vec<&str> =
                same.by_ref().flat_map(|route| &route.methods).map(String::as_str).collect();
            Refusal::Method(methods.join(", "))
        })
    }

    /// The invocation in `bytes`, of which `request` is read, and its route.
    pub fn invocation(
        &self,
        txn: Txn,
        door: Time,
        bytes: &Buf,
        request: &Request,
    ) -> Result<(Rc<Route>, Part), Refusal> {
        let text = |name: &str| match request.field(name) {
            None => Ok(None),
            Some(value) => match std::str::from_utf8(value) {
                Ok(value) => Ok(Some(value)),
                Err(_) => Err(Refusal::Wrong(format!("{name} is no text"))),
            },
        };
        let method = text("REQUEST_METHOD")?.ok_or(Refusal::Wrong("no REQUEST_METHOD".into()))?;
        // Gateways tell the path in one of three ways; with a mount point it is that and what stands behind it.
        let path =
            match (text("SCRIPT_NAME")?, text("PATH_INFO")?, text("DOCUMENT_URI")?, text("REQUEST_URI")?) {
                (Some(script), info, ..) => format!("{script}{}", info.unwrap_or("")),
                (None, Some(info), ..) => info.to_string(),
                (None, None, Some(path), _) => path.to_string(),
                (None, None, None, Some(uri)) => uri.split('?').next().unwrap_or("").to_string(),
                _ => {
                    return Err(Refusal::Wrong(
                        "no SCRIPT_NAME, PATH_INFO, DOCUMENT_URI or REQUEST_URI".into(),
                    ))
                }
            };
        let route = self.find(&path, method)?;
        let said = |header: &Option<String>| match header {
            None => Ok(None),
            Some(name) => Ok(text(name)?.filter(|value| !value.is_empty())),
        };
        let number = |header: &Option<String>, most: f64, below: bool| -> Result<Option<f64>, Refusal> {
            let Some(value) = said(header)? else { return Ok(None) };
            match value.parse::<f64>() {
                Ok(number) if (0.0..=most).contains(&number) && !(below && number == most) => {
                    Ok(Some(number))
                }
                _ => Err(Refusal::Wrong(format!("{} {value:?}", header.as_deref().unwrap_or("")))),
            }
        };
        let ms = |value: f64| (value * 10.0) as Time;
        let customer = match said(&route.customer.header)? {
            None => route.customer.otherwise,
            Some(name) => match self.customers.iter().position(|known| known == name) {
                None => return Err(Refusal::Wrong(format!("customer {name:?}"))),
                known => known,
            },
        };
        let within = number(&route.within.header, LONGEST_MS, false)?.map(ms);
        let hint = number(&route.hint.header, LONGEST_MS, false)?.map(ms).or(route.hint.otherwise);
        let rank = number(&route.rank.header, 1.0, true)?.unwrap_or(route.rank.otherwise);
        let token = match &route.token {
            None => None,
            Some(name) => match said(&route.token)? {
                Some(token) if token.len() <= TOKEN && is_word(token) => Some(token.into()),
                Some(token) => return Err(Refusal::Wrong(format!("{name} {token:?}"))),
                None => return Err(Refusal::Wrong(format!("no {name}"))),
            },
        };
        // What was sent, or else what was asked: a GET has no content, its question stands behind the path.
        let body = match request.body {
            b"" => request.field("QUERY_STRING").unwrap_or(b""),
            body => body,
        };
        let start = if body.is_empty() { 0 } else { body.as_ptr() as usize - bytes.as_ptr() as usize };
        let part = Part {
            txn,
            door,
            op: route.op,
            customer,
            budget: within.or(route.within.otherwise),
            rank,
            hint: hint.filter(|hint| *hint > 0),
            kb: route.kb,
            token,
            body: start..start + body.len(),
        };
        Ok((route.clone(), part))
    }
}

/// An invocation without the buffer that it stands in.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    txn: Txn,
    door: Time,
    op: usize,
    customer: Option<usize>,
    budget: Option<Time>,
    rank: f64,
    hint: Option<Time>,
    kb: f64,
    token: Option<Box<str>>,
    body: std::ops::Range<usize>,
}

impl Part {
    pub fn with(self, bytes: Buf) -> Invocation {
        let Part { txn, door, op, customer, budget, rank, hint, kb, token, body } = self;
        let hint = hint.map(|hint| hint as f64);
        Invocation {
            txn,
            op,
            customer,
            door,
            budget,
            rank,
            hint,
            kb,
            keyed: false,
            token,
            subject: None,
            raw: false,
            bytes,
            body,
        }
    }
}
