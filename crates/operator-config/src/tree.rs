//! A checked text as a tree of values, each with the place at which it was written.

use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Int(i64),
    Number(f64),
    Text(String),
    Duration(Duration),
    /// Bytes.
    Size(u64),
    Address(SocketAddr),
    List(Vec<Node>),
    Record(Vec<(String, Node)>),
}

/// A value that fits its schema. The readers by type answer with a neutral value where the schema did not ask for that
/// type: a program's own fault, never an operator's.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    pub value: Value,
    /// Its bytes in the operator's text; `None` where it comes from a default.
    pub span: Option<Range<usize>>,
}

static NULL: Node = Node { value: Value::Null, span: None };

impl Node {
    pub fn find(&self, name: &str) -> Option<&Node> {
        match &self.value {
            Value::Record(fields) => fields.iter().find(|(known, _)| known == name).map(|(_, node)| node),
            _ => None,
        }
    }
    /// A field that the schema always gives.
    pub fn get(&self, name: &str) -> &Node {
        self.find(name).unwrap_or(&NULL)
    }
    pub fn list(&self) -> &[Node] {
        match &self.value {
            Value::List(nodes) => nodes,
            _ => &[],
        }
    }
    pub fn fields(&self) -> &[(String, Node)] {
        match &self.value {
            Value::Record(fields) => fields,
            _ => &[],
        }
    }
    pub fn text(&self) -> &str {
        match &self.value {
            Value::Text(text) => text,
            _ => "",
        }
    }
    pub fn flag(&self) -> bool {
        self.value == Value::Bool(true)
    }
    pub fn int(&self) -> i64 {
        match self.value {
            Value::Int(int) => int,
            _ => 0,
        }
    }
    pub fn number(&self) -> f64 {
        match self.value {
            Value::Int(int) => int as f64,
            Value::Number(number) => number,
            _ => 0.0,
        }
    }
    pub fn duration(&self) -> Duration {
        match self.value {
            Value::Duration(duration) => duration,
            _ => Duration::ZERO,
        }
    }
    /// Bytes.
    pub fn size(&self) -> u64 {
        match self.value {
            Value::Size(size) => size,
            _ => 0,
        }
    }
    pub fn address(&self) -> Option<SocketAddr> {
        match self.value {
            Value::Address(address) => Some(address),
            _ => None,
        }
    }
    /// Where it was written, or else the start of the text.
    pub fn place(&self) -> Range<usize> {
        self.span.clone().unwrap_or(0..0)
    }
}

/// A duration in the largest unit that takes it whole.
pub(crate) fn show_duration(ns: i64) -> String {
    const UNITS: [(&str, i64); 6] = [
        ("h", 3_600_000_000_000),
        ("m", 60_000_000_000),
        ("s", 1_000_000_000),
        ("ms", 1_000_000),
        ("us", 1_000),
        ("ns", 1),
    ];
    if ns == 0 {
        return "0s".into();
    }
    let (unit, size) = UNITS.iter().find(|(_, size)| ns % size == 0).unwrap_or(&("ns", 1));
    format!("{}{unit}", ns / size)
}

pub(crate) fn show_size(bytes: u64) -> String {
    const UNITS: [(&str, u64); 4] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];
    let unit = UNITS.iter().find(|(_, size)| bytes > 0 && bytes.is_multiple_of(*size)).unwrap_or(&("B", 1));
    format!("{}{}", bytes / unit.1, unit.0)
}

pub(crate) fn show_number(number: f64) -> String {
    if number == number.trunc() && number.abs() < 1e15 {
        format!("{number:.1}")
    } else {
        format!("{number}")
    }
}

/// Text as it is written.
pub(crate) fn quote(text: &str) -> String {
    let mut out = String::from('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\t' => out.push_str("\\t"),
            '\r' => out.push_str("\\r"),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

impl Node {
    fn show(&self, to: &mut fmt::Formatter, depth: usize) -> fmt::Result {
        let pad = "    ".repeat(depth);
        match &self.value {
            Value::Null => write!(to, "null"),
            Value::Bool(flag) => write!(to, "{flag}"),
            Value::Int(int) => write!(to, "{int}"),
            Value::Number(number) => write!(to, "{}", show_number(*number)),
            Value::Text(text) => write!(to, "{}", quote(text)),
            Value::Duration(duration) => write!(to, "{}", show_duration(duration.as_nanos() as i64)),
            Value::Size(bytes) => write!(to, "{}", show_size(*bytes)),
            Value::Address(address) => write!(to, "\"{address}\""),
            Value::List(nodes) if nodes.is_empty() => write!(to, "[]"),
            Value::List(nodes) => {
                writeln!(to, "[")?;
                for node in nodes {
                    write!(to, "{pad}    ")?;
                    node.show(to, depth + 1)?;
                    writeln!(to, ",")?;
                }
                write!(to, "{pad}]")
            }
            Value::Record(fields) if fields.is_empty() => write!(to, "{{}}"),
            Value::Record(fields) => {
                writeln!(to, "{{")?;
                for (name, node) in fields {
                    let plain = crate::syntax::is_name(name);
                    let name = if plain { name.clone() } else { quote(name) };
                    write!(to, "{pad}    {name}: ")?;
                    node.show(to, depth + 1)?;
                    writeln!(to)?;
                }
                write!(to, "{pad}}}")
            }
        }
    }
}

/// As it could be written: what holds, defaults included.
impl fmt::Display for Node {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        self.show(to, 0)
    }
}
