//! The tree of values that a checked text yields, each value with its position in the text.

use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

/// A value of the tree.
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

/// A value that satisfies its schema. The typed accessors return a neutral value where the schema does not have that
/// type, which is a defect of the program and never of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    pub value: Value,
    /// The range of bytes in the operator's text; `None` for a default.
    pub span: Option<Range<usize>>,
}

static NULL: Node = Node { value: Value::Null, span: None };

impl Node {
    /// A field of a record, if it is present.
    pub fn find(&self, name: &str) -> Option<&Node> {
        match &self.value {
            Value::Record(fields) => fields.iter().find(|(known, _)| known == name).map(|(_, node)| node),
            _ => None,
        }
    }
    /// A field that the schema requires or gives a default.
    pub fn get(&self, name: &str) -> &Node {
        self.find(name).unwrap_or(&NULL)
    }
    /// The items of a list.
    pub fn list(&self) -> &[Node] {
        match &self.value {
            Value::List(nodes) => nodes,
            _ => &[],
        }
    }
    /// The fields of a record.
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
    pub fn boolean(&self) -> bool {
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
    /// The range of bytes in the operator's text, or the start of the text for a default.
    pub fn span_or_start(&self) -> Range<usize> {
        self.span.clone().unwrap_or(0..0)
    }
}

/// A duration as a whole number of the largest unit that divides it.
pub(crate) fn format_duration(ns: i64) -> String {
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

pub(crate) fn format_size(bytes: u64) -> String {
    const UNITS: [(&str, u64); 4] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];
    let unit = UNITS.iter().find(|(_, size)| bytes > 0 && bytes.is_multiple_of(*size)).unwrap_or(&("B", 1));
    format!("{}{}", bytes / unit.1, unit.0)
}

pub(crate) fn format_number(number: f64) -> String {
    if number == number.trunc() && number.abs() < 1e15 {
        format!("{number:.1}")
    } else {
        format!("{number}")
    }
}

/// Text in quotes, with escapes.
pub(crate) fn quote(text: &str) -> String {
    let mut quoted = String::from('"');
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            '\t' => quoted.push_str("\\t"),
            '\r' => quoted.push_str("\\r"),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

impl Node {
    fn fmt_nested(&self, f: &mut fmt::Formatter, depth: usize) -> fmt::Result {
        let indent = "    ".repeat(depth);
        match &self.value {
            Value::Null => write!(f, "null"),
            Value::Bool(boolean) => write!(f, "{boolean}"),
            Value::Int(int) => write!(f, "{int}"),
            Value::Number(number) => write!(f, "{}", format_number(*number)),
            Value::Text(text) => write!(f, "{}", quote(text)),
            Value::Duration(duration) => write!(f, "{}", format_duration(duration.as_nanos() as i64)),
            Value::Size(bytes) => write!(f, "{}", format_size(*bytes)),
            Value::Address(address) => write!(f, "\"{address}\""),
            Value::List(nodes) if nodes.is_empty() => write!(f, "[]"),
            Value::List(nodes) => {
                writeln!(f, "[")?;
                for node in nodes {
                    write!(f, "{indent}    ")?;
                    node.fmt_nested(f, depth + 1)?;
                    writeln!(f, ",")?;
                }
                write!(f, "{indent}]")
            }
            Value::Record(fields) if fields.is_empty() => write!(f, "{{}}"),
            Value::Record(fields) => {
                writeln!(f, "{{")?;
                for (name, node) in fields {
                    let is_identifier = crate::syntax::is_identifier(name);
                    let name = if is_identifier { name.clone() } else { quote(name) };
                    write!(f, "{indent}    {name}: ")?;
                    node.fmt_nested(f, depth + 1)?;
                    writeln!(f)?;
                }
                write!(f, "{indent}}}")
            }
        }
    }
}

/// The value in the language of the file, defaults included.
impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.fmt_nested(f, 0)
    }
}
