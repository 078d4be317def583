//! What a text says as shapes that can be laid over each other: what holds of both is what both allow. The schema's
//! shape over the operator's, with defaults for what nobody said, is the checked tree.

use crate::faults::Fault;
use crate::syntax::{Entry, Expr, File, Op, Place, Scalar, Span, Syntax};
use crate::tree::{quote, show_duration, show_number, show_size, Node, Value};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Text,
    Int,
    Number,
    Bool,
    Duration,
    Size,
    Address,
    Null,
}

const NAMES: [(&str, Kind); 8] = [
    ("string", Kind::Text),
    ("int", Kind::Int),
    ("number", Kind::Number),
    ("bool", Kind::Bool),
    ("duration", Kind::Duration),
    ("size", Kind::Size),
    ("address", Kind::Address),
    ("null", Kind::Null),
];

#[derive(Clone, Debug)]
enum Shape {
    Any,
    Scalar(Scalar),
    Address(SocketAddr),
    /// A type, constraints, or both.
    Limits(Option<Kind>, Vec<(Op, Scalar)>),
    Record(Record),
    List(Vec<Laid>, Option<Box<Laid>>),
    /// One of these, whether it is marked as the default.
    Or(Vec<(bool, Laid)>),
    /// A fault was told already.
    Broken,
}

/// A shape, and where it was written.
#[derive(Clone, Debug)]
struct Laid {
    shape: Shape,
    span: Span,
}

#[derive(Clone, Debug, Default)]
struct Record {
    fields: Vec<Field>,
    others: Option<Box<Laid>>,
    open: bool,
}

#[derive(Clone, Debug)]
struct Field {
    name: String,
    at: Span,
    optional: bool,
    value: Laid,
}

pub struct Shaper<'a> {
    schema: &'a File,
    operator: Option<&'a File>,
    /// Definitions that are being used, against those that use themselves.
    using: RefCell<Vec<String>>,
}

type Faults = Vec<Fault>;

fn definition<'f>(file: &'f File, name: &str) -> Option<&'f Syntax> {
    let Expr::Record(entries) = &file.root.expr else { return None };
    entries.iter().find_map(|entry| match entry {
        Entry::Definition { name: known, value, .. } if known == name => Some(value),
        _ => None,
    })
}

fn join(path: &str, name: &str) -> String {
    let name = if crate::syntax::is_name(name) { name.to_string() } else { quote(name) };
    if path.is_empty() {
        name
    } else {
        format!("{path}.{name}")
    }
}

impl<'a> Shaper<'a> {
    pub fn new(schema: &'a File, operator: Option<&'a File>) -> Shaper<'a> {
        Shaper { schema, operator, using: RefCell::default() }
    }

    /// The schema's `#Root` over the operator's text. Without one, only whether the schema holds together.
    pub fn root(&self) -> (Option<Node>, Faults) {
        let mut faults = Vec::new();
        let start = Span { place: Place::Schema, bytes: 0..0 };
        let Some(root) = definition(self.schema, "#Root") else {
            return (None, vec![Fault::new(0..1, "", "no definition #Root")]);
        };
        self.using.borrow_mut().push("#Root".into());
        let root = self.shape(root, "", &mut faults);
        self.using.borrow_mut().pop();
        let Some(operator) = self.operator else {
            // Definitions that the root does not use are looked at too.
            if let Expr::Record(entries) = &self.schema.root.expr {
                for entry in entries {
                    match entry {
                        Entry::Definition { name, value, .. } if name != "#Root" => {
                            self.using.borrow_mut().push(name.clone());
                            self.shape(value, "", &mut faults);
                            self.using.borrow_mut().pop();
                        }
                        Entry::Definition { .. } => {}
                        _ => faults.push(Fault::new(
                            start.bytes.clone(),
                            "",
                            "a schema holds definitions only",
                        )),
                    }
                }
            }
            return (None, faults);
        };
        let said = self.shape(&operator.root, "", &mut faults);
        let both = self.lay(&root, &said, "", &mut faults);
        let node = self.finish(&both, "", &said.span, &mut faults);
        (node, faults)
    }

    // ---- from syntax ----

    fn shape(&self, syntax: &Syntax, path: &str, faults: &mut Faults) -> Laid {
        let span = syntax.span.clone();
        let shape = match &syntax.expr {
            Expr::Scalar(scalar) => Shape::Scalar(scalar.clone()),
            Expr::Kind(name) => match NAMES.iter().find(|(known, _)| known == name) {
                Some((_, kind)) => Shape::Limits(Some(*kind), Vec::new()),
                None => Shape::Any,
            },
            Expr::Bound(op, scalar) => Shape::Limits(None, vec![(*op, scalar.clone())]),
            Expr::Use(name) => return self.used(name, span, path, faults),
            Expr::Record(entries) => Shape::Record(self.record(entries, &span, path, faults)),
            Expr::List(items, rest) => {
                let inner = |at| format!("{path}[{at}]");
                let items = items.iter().enumerate();
                let items = items.map(|(at, item)| self.shape(item, &inner(at), faults)).collect();
                let rest = rest.as_ref().map(|rest| Box::new(self.shape(rest, path, faults)));
                Shape::List(items, rest)
            }
            Expr::And(all) => {
                let mut shapes =
                    all.iter().map(|one| self.shape(one, path, faults)).collect::<Vec<_>>().into_iter();
                let first = shapes.next().map_or(Shape::Any, |first| first.shape);
                let first = Laid { shape: first, span: span.clone() };
                let laid = shapes.fold(first, |all, one| self.lay(&all, &one, path, faults));
                return Laid { span, ..laid };
            }
            Expr::Or(all) => {
                Shape::Or(all.iter().map(|(mark, one)| (*mark, self.shape(one, path, faults))).collect())
            }
        };
        Laid { shape, span }
    }

    /// A definition: the operator's own before the schema's.
    fn used(&self, name: &str, span: Span, path: &str, faults: &mut Faults) -> Laid {
        let own = self.operator.filter(|_| span.place == Place::Operator);
        let found = own.and_then(|file| definition(file, name)).or_else(|| definition(self.schema, name));
        let Some(found) = found else {
            faults.push(Fault::new(span.bytes.clone(), path, format!("no definition {name}")));
            return Laid { shape: Shape::Broken, span };
        };
        if self.using.borrow().iter().any(|known| known == name) {
            faults.push(Fault::new(span.bytes.clone(), path, format!("the definition {name} uses itself")));
            return Laid { shape: Shape::Broken, span };
        }
        self.using.borrow_mut().push(name.to_string());
        let laid = self.shape(found, path, faults);
        self.using.borrow_mut().pop();
        Laid { shape: laid.shape, span }
    }

    fn record(&self, entries: &[Entry], span: &Span, path: &str, faults: &mut Faults) -> Record {
        let mut record = Record { open: span.place == Place::Operator, ..Record::default() };
        for entry in entries {
            match entry {
                Entry::Field { name, at, optional, value } => {
                    let inner = join(path, name);
                    let value = self.shape(value, &inner, faults);
                    let (at, optional) = (at.clone(), *optional);
                    match record.fields.iter().position(|field| field.name == *name) {
                        None => record.fields.push(Field { name: name.clone(), at, optional, value }),
                        Some(twice) => {
                            let laid = self.lay(&record.fields[twice].value, &value, &inner, faults);
                            record.fields[twice].value = laid;
                        }
                    }
                }
                Entry::Others(value) => record.others = Some(Box::new(self.shape(value, path, faults))),
                Entry::Open => record.open = true,
                Entry::Embed(value) => match self.shape(value, path, faults).shape {
                    Shape::Record(mut inner) => {
                        let open = record.open;
                        inner.open = true;
                        record.open = true;
                        record = self.lay_records(&record, &inner, path, faults);
                        record.open = open;
                    }
                    Shape::Broken => {}
                    _ => {
                        faults.push(Fault::new(value.span.bytes.clone(), "", "only a record can stand here"))
                    }
                },
                Entry::Definition { at, .. } if span.bytes.start != 0 => {
                    let what = "definitions stand at the top of a text only";
                    faults.push(Fault::new(at.bytes.clone(), "", what));
                }
                Entry::Definition { .. } => {}
            }
        }
        record
    }

    // ---- one over the other ----

    fn lay(&self, a: &Laid, b: &Laid, path: &str, faults: &mut Faults) -> Laid {
        let span = if b.span.place == Place::Operator { b.span.clone() } else { a.span.clone() };
        let shape = match (&a.shape, &b.shape) {
            (Shape::Broken, _) | (_, Shape::Broken) => Shape::Broken,
            (Shape::Any, other) | (other, Shape::Any) => other.clone(),
            (Shape::Or(some), _) => self.lay_any(a, some, b, path, faults),
            (_, Shape::Or(some)) => self.lay_any(b, some, a, path, faults),
            (Shape::Record(x), Shape::Record(y)) => Shape::Record(self.lay_records(x, y, path, faults)),
            (Shape::List(x, more_x), Shape::List(y, more_y)) => {
                self.lay_lists((x, more_x.as_deref()), (y, more_y.as_deref()), path, &span, faults)
            }
            (Shape::Limits(kind, bounds), Shape::Limits(other, more)) => match meet(*kind, *other) {
                Some(kind) => {
                    let mut bounds = bounds.clone();
                    bounds.extend(more.iter().cloned());
                    Shape::Limits(kind, bounds)
                }
                None => conflict(a, b, path, &span, faults),
            },
            (Shape::Limits(kind, bounds), Shape::Scalar(value))
            | (Shape::Scalar(value), Shape::Limits(kind, bounds)) => {
                let typed = kind.map_or(Some(Shape::Scalar(value.clone())), |kind| admit(kind, value));
                match typed.filter(|_| bounds.iter().all(|(op, bound)| holds(value, *op, bound))) {
                    Some(shape) => shape,
                    None => conflict(a, b, path, &span, faults),
                }
            }
            (Shape::Limits(None | Some(Kind::Address | Kind::Text), _), Shape::Address(address))
            | (Shape::Address(address), Shape::Limits(None | Some(Kind::Address | Kind::Text), _)) => {
                Shape::Address(*address)
            }
            (Shape::Scalar(x), Shape::Scalar(y)) if same(x, y) => Shape::Scalar(x.clone()),
            (Shape::Address(x), Shape::Address(y)) if x == y => Shape::Address(*x),
            (Shape::Address(x), Shape::Scalar(Scalar::Text(y)))
            | (Shape::Scalar(Scalar::Text(y)), Shape::Address(x))
                if y.parse() == Ok(*x) =>
            {
                Shape::Address(*x)
            }
            _ => conflict(a, b, path, &span, faults),
        };
        Laid { shape, span }
    }

    /// Those of several that go with `other`; where none does, the faults of the one that is of its sort.
    fn lay_any(
        &self,
        any: &Laid,
        some: &[(bool, Laid)],
        other: &Laid,
        path: &str,
        faults: &mut Faults,
    ) -> Shape {
        let sort = |laid: &Laid| std::mem::discriminant(&laid.shape);
        let (mut fit, mut near): (Vec<(bool, Laid)>, Option<Faults>) = (Vec::new(), None);
        let marked = some.iter().any(|(mark, _)| *mark);
        for (mark, one) in some {
            let mut own = Vec::new();
            let laid = self.lay(one, other, path, &mut own);
            if !own.is_empty() {
                let nested = matches!(one.shape, Shape::Record(_) | Shape::List(..));
                // What is no default says more of what may stand here.
                if nested && sort(one) == sort(other) && (near.is_none() || !mark) {
                    near = Some(own);
                }
                continue;
            }
            match laid.shape {
                Shape::Or(inner) => {
                    let inner_marked = inner.iter().any(|(mark, _)| *mark);
                    for (inner_mark, laid) in inner {
                        let both = (*mark || !marked) && (inner_mark || !inner_marked);
                        fit.push((both && (marked || inner_marked), laid));
                    }
                }
                _ => fit.push((*mark, laid)),
            }
        }
        match (fit.len(), near) {
            (0, Some(mut near)) => {
                faults.append(&mut near);
                Shape::Broken
            }
            (0, None) => {
                let span = if other.span.place == Place::Operator { &other.span } else { &any.span };
                conflict(any, other, path, span, faults)
            }
            (1, _) => fit.remove(0).1.shape,
            _ => Shape::Or(fit),
        }
    }

    fn lay_records(&self, a: &Record, b: &Record, path: &str, faults: &mut Faults) -> Record {
        let mut fields: Vec<Field> = Vec::new();
        for (mine, theirs) in [(a, b), (b, a)] {
            for field in &mine.fields {
                if fields.iter().any(|known| known.name == field.name) {
                    continue;
                }
                let inner = join(path, &field.name);
                let other = theirs.fields.iter().find(|other| other.name == field.name);
                let mut laid = field.clone();
                if let Some(other) = other {
                    laid.value = self.lay(&field.value, &other.value, &inner, faults);
                    laid.optional &= other.optional;
                    if other.at.place == Place::Operator {
                        laid.at = other.at.clone();
                    }
                } else if let Some(others) = &theirs.others {
                    laid.value = self.lay(others, &field.value, &inner, faults);
                } else if !(theirs.open || field.optional && field.at.place == Place::Schema) {
                    let names: Vec<&str> =
                        theirs.fields.iter().map(|field| field.name.as_str()).take(20).collect();
                    let names = if names.is_empty() { "none".into() } else { names.join(", ") };
                    let what = format!("no such field; one of {names}");
                    faults.push(Fault::new(field.at.bytes.clone(), inner, what));
                    laid.value = Laid { shape: Shape::Broken, span: field.value.span.clone() };
                }
                fields.push(laid);
            }
        }
        let others = match (&a.others, &b.others) {
            (Some(x), Some(y)) => Some(Box::new(self.lay(x, y, path, faults))),
            (Some(one), None) | (None, Some(one)) => Some(one.clone()),
            (None, None) => None,
        };
        Record { fields, others, open: a.open && b.open }
    }

    fn lay_lists(
        &self,
        (x, more_x): (&[Laid], Option<&Laid>),
        (y, more_y): (&[Laid], Option<&Laid>),
        path: &str,
        span: &Span,
        faults: &mut Faults,
    ) -> Shape {
        let long = x.len().max(y.len());
        if x.len() < long && more_x.is_none() || y.len() < long && more_y.is_none() {
            let what = format!("expected a list of {}, found one of {long}", x.len().min(y.len()));
            faults.push(Fault::new(span.bytes.clone(), path, what));
            return Shape::Broken;
        }
        let mut items = Vec::new();
        for at in 0..long {
            // Whichever is shorter goes on with what it says of the rest.
            if let (Some(one), Some(other)) = (x.get(at).or(more_x), y.get(at).or(more_y)) {
                items.push(self.lay(one, other, &format!("{path}[{at}]"), faults));
            }
        }
        let rest = match (more_x, more_y) {
            (Some(one), Some(other)) => Some(Box::new(self.lay(one, other, path, faults))),
            _ => None,
        };
        Shape::List(items, rest)
    }

    // ---- to the tree ----

    fn finish(&self, laid: &Laid, path: &str, within: &Span, faults: &mut Faults) -> Option<Node> {
        let own = laid.span.place == Place::Operator;
        let span = own.then(|| laid.span.bytes.clone());
        let around = if own { &laid.span } else { within };
        let value = match &laid.shape {
            Shape::Broken => return None,
            Shape::Scalar(scalar) => plain(scalar),
            Shape::Address(address) => Value::Address(*address),
            Shape::List(items, _) => {
                let nodes = items
                    .iter()
                    .enumerate()
                    .map(|(at, item)| self.finish(item, &format!("{path}[{at}]"), around, faults));
                Value::List(nodes.collect::<Vec<_>>().into_iter().collect::<Option<_>>()?)
            }
            Shape::Record(record) => {
                let mut fields = Vec::new();
                let mut whole = true;
                for field in record.fields.iter().filter(|field| !field.optional) {
                    match self.finish(&field.value, &join(path, &field.name), around, faults) {
                        Some(node) => fields.push((field.name.clone(), node)),
                        None => whole = false,
                    }
                }
                if !whole {
                    return None;
                }
                Value::Record(fields)
            }
            Shape::Or(some) => {
                let marked = some.iter().find(|(mark, _)| *mark);
                if let Some((_, one)) = marked {
                    return self.finish(one, path, around, faults).map(|node| Node { span, ..node });
                }
                return missing(laid, path, around, faults);
            }
            Shape::Any | Shape::Limits(..) => return missing(laid, path, around, faults),
        };
        Some(Node { value, span })
    }
}

/// Nobody said what it is: told at the first byte of the record that lacks it.
fn missing(laid: &Laid, path: &str, around: &Span, faults: &mut Faults) -> Option<Node> {
    let start = around.bytes.start;
    let what = format!("missing; expected {}", show(laid));
    let span: Range<usize> = if around.place == Place::Operator { start..start + 1 } else { 0..1 };
    faults.push(Fault { missing: true, ..Fault::new(span, path, what) });
    None
}

fn conflict(a: &Laid, b: &Laid, path: &str, span: &Span, faults: &mut Faults) -> Shape {
    let (own_a, own_b) = (a.span.place == Place::Operator, b.span.place == Place::Operator);
    let what = match (own_a, own_b) {
        (true, false) => format!("expected {}, found {}", show(b), show(a)),
        (false, true) => format!("expected {}, found {}", show(a), show(b)),
        _ => format!("{} and {} can't both hold", show(a), show(b)),
    };
    faults.push(Fault::new(span.bytes.clone(), path, what));
    Shape::Broken
}

/// The type that both allow; the outer `None` where there is none.
fn meet(a: Option<Kind>, b: Option<Kind>) -> Option<Option<Kind>> {
    match (a, b) {
        (None, kind) | (kind, None) => Some(kind),
        (Some(a), Some(b)) if a == b => Some(Some(a)),
        (Some(Kind::Int | Kind::Number), Some(Kind::Int | Kind::Number)) => Some(Some(Kind::Int)),
        (Some(Kind::Text | Kind::Address), Some(Kind::Text | Kind::Address)) => Some(Some(Kind::Address)),
        _ => None,
    }
}

fn admit(kind: Kind, value: &Scalar) -> Option<Shape> {
    if let (Kind::Address, Scalar::Text(text)) = (kind, value) {
        return text.parse().ok().map(Shape::Address);
    }
    let fits = matches!(
        (kind, value),
        (Kind::Text, Scalar::Text(_))
            | (Kind::Int | Kind::Number, Scalar::Int(_))
            | (Kind::Number, Scalar::Number(_))
            | (Kind::Bool, Scalar::Bool(_))
            | (Kind::Duration, Scalar::Duration(_))
            | (Kind::Size, Scalar::Size(_))
            | (Kind::Null, Scalar::Null)
    );
    fits.then(|| Shape::Scalar(value.clone()))
}

fn same(a: &Scalar, b: &Scalar) -> bool {
    compare(a, b) == Some(std::cmp::Ordering::Equal)
}

/// `None` between values of different sorts.
fn compare(a: &Scalar, b: &Scalar) -> Option<std::cmp::Ordering> {
    match (a, b) {
        (Scalar::Int(a), Scalar::Int(b)) | (Scalar::Duration(a), Scalar::Duration(b)) => Some(a.cmp(b)),
        (Scalar::Int(a), Scalar::Number(b)) => (*a as f64).partial_cmp(b),
        (Scalar::Number(a), Scalar::Int(b)) => a.partial_cmp(&(*b as f64)),
        (Scalar::Number(a), Scalar::Number(b)) => a.partial_cmp(b),
        (Scalar::Size(a), Scalar::Size(b)) => Some(a.cmp(b)),
        (Scalar::Text(a), Scalar::Text(b)) => Some(a.cmp(b)),
        (Scalar::Bool(a), Scalar::Bool(b)) => Some(a.cmp(b)),
        (Scalar::Null, Scalar::Null) => Some(std::cmp::Ordering::Equal),
        _ => None,
    }
}

fn holds(value: &Scalar, op: Op, bound: &Scalar) -> bool {
    let Some(order) = compare(value, bound) else { return op == Op::Not };
    match op {
        Op::Less => order.is_lt(),
        Op::AtMost => order.is_le(),
        Op::More => order.is_gt(),
        Op::AtLeast => order.is_ge(),
        Op::Not => order.is_ne(),
    }
}

fn plain(scalar: &Scalar) -> Value {
    match scalar {
        Scalar::Null => Value::Null,
        Scalar::Bool(flag) => Value::Bool(*flag),
        Scalar::Int(int) => Value::Int(*int),
        Scalar::Number(number) => Value::Number(*number),
        Scalar::Text(text) => Value::Text(text.clone()),
        Scalar::Duration(ns) => Value::Duration(Duration::from_nanos((*ns).max(0) as u64)),
        Scalar::Size(bytes) => Value::Size(*bytes),
    }
}

fn show_scalar(scalar: &Scalar) -> String {
    match scalar {
        Scalar::Null => "null".into(),
        Scalar::Bool(flag) => flag.to_string(),
        Scalar::Int(int) => int.to_string(),
        Scalar::Number(number) => show_number(*number),
        Scalar::Text(text) => quote(&text.chars().take(60).collect::<String>()),
        Scalar::Duration(ns) => show_duration(*ns),
        Scalar::Size(bytes) => show_size(*bytes),
    }
}

/// As it could be written, in short.
fn show(laid: &Laid) -> String {
    match &laid.shape {
        Shape::Any | Shape::Broken => "any value".into(),
        Shape::Scalar(scalar) => show_scalar(scalar),
        Shape::Address(address) => format!("\"{address}\""),
        Shape::Limits(kind, bounds) => {
            let name =
                |kind: &Kind| NAMES.iter().find(|(_, known)| known == kind).map_or("_", |(name, _)| name);
            let mut parts: Vec<String> = kind.iter().map(|kind| name(kind).to_string()).collect();
            parts.extend(bounds.iter().map(|(op, bound)| {
                let op = match op {
                    Op::Less => "<",
                    Op::AtMost => "<=",
                    Op::More => ">",
                    Op::AtLeast => ">=",
                    Op::Not => "!=",
                };
                format!("{op}{}", show_scalar(bound))
            }));
            parts.join(" & ")
        }
        Shape::Record(_) => "a record".into(),
        Shape::List(..) => "a list".into(),
        Shape::Or(some) => {
            let parts: Vec<String> = some.iter().map(|(_, one)| show(one)).collect();
            parts.join(" | ")
        }
    }
}
