//! Evaluates expressions to constraints and unifies them: the unification of two constraints allows what both allow. The
//! schema's constraint unified with the operator's file, completed by defaults, is the checked tree.

use crate::diagnostics::Diagnostic;
use crate::syntax::{Comparison, Entry, Expr, Scalar, Source, SourceFile, Span, SpannedExpr};
use crate::tree::{format_duration, format_number, format_size, quote, Node, Value};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Type {
    Text,
    Int,
    Number,
    Bool,
    Duration,
    Size,
    Address,
    Null,
}

const TYPES: [(&str, Type); 8] = [
    ("string", Type::Text),
    ("int", Type::Int),
    ("number", Type::Number),
    ("bool", Type::Bool),
    ("duration", Type::Duration),
    ("size", Type::Size),
    ("address", Type::Address),
    ("null", Type::Null),
];

#[derive(Clone, Debug)]
enum Constraint {
    Any,
    Scalar(Scalar),
    Address(SocketAddr),
    /// A type, comparisons with values, or both.
    Bounded(Option<Type>, Vec<(Comparison, Scalar)>),
    Record(Record),
    List(Vec<SpannedConstraint>, Option<Box<SpannedConstraint>>),
    /// The alternatives, each with whether it is marked as the default.
    Disjunction(Vec<(bool, SpannedConstraint)>),
    /// A constraint whose diagnostic was reported already.
    Invalid,
}

/// A constraint and where it was document.
#[derive(Clone, Debug)]
struct SpannedConstraint {
    constraint: Constraint,
    span: Span,
}

#[derive(Clone, Debug, Default)]
struct Record {
    fields: Vec<Field>,
    /// The constraint on each field that has no entry of its own.
    other_fields: Option<Box<SpannedConstraint>>,
    /// Whether fields beyond those named are allowed.
    is_open: bool,
}

#[derive(Clone, Debug)]
struct Field {
    name: String,
    name_span: Span,
    is_optional: bool,
    value: SpannedConstraint,
}

/// Evaluates a schema, alone or together with the operator's file.
pub struct Evaluator<'a> {
    schema: &'a SourceFile,
    operator: Option<&'a SourceFile>,
    /// Names of the definitions that are being resolved, to detect definitions that refer to themselves.
    resolving: RefCell<Vec<String>>,
}

type Diagnostics = Vec<Diagnostic>;

fn definition<'f>(file: &'f SourceFile, name: &str) -> Option<&'f SpannedExpr> {
    let Expr::Record(entries) = &file.root.expr else { return None };
    entries.iter().find_map(|entry| match entry {
        Entry::Definition { name: known, value, .. } if known == name => Some(value),
        _ => None,
    })
}

fn join(path: &str, name: &str) -> String {
    let name = if crate::syntax::is_identifier(name) { name.to_string() } else { quote(name) };
    if path.is_empty() {
        name
    } else {
        format!("{path}.{name}")
    }
}

impl<'a> Evaluator<'a> {
    pub fn new(schema: &'a SourceFile, operator: Option<&'a SourceFile>) -> Evaluator<'a> {
        Evaluator { schema, operator, resolving: RefCell::default() }
    }

    /// Unifies the schema's `#Root` with the operator's file. Without a file, only checks that the schema is consistent.
    pub fn evaluate_root(&self) -> (Option<Node>, Diagnostics) {
        let mut diagnostics = Vec::new();
        let start = Span { source: Source::Schema, bytes: 0..0 };
        let Some(root) = definition(self.schema, "#Root") else {
            return (None, vec![Diagnostic::new(0..1, "", "no definition #Root")]);
        };
        self.resolving.borrow_mut().push("#Root".into());
        let root = self.evaluate(root, "", &mut diagnostics);
        self.resolving.borrow_mut().pop();
        let Some(operator) = self.operator else {
            // Definitions that `#Root` does not use are checked too.
            if let Expr::Record(entries) = &self.schema.root.expr {
                for entry in entries {
                    match entry {
                        Entry::Definition { name, value, .. } if name != "#Root" => {
                            self.resolving.borrow_mut().push(name.clone());
                            self.evaluate(value, "", &mut diagnostics);
                            self.resolving.borrow_mut().pop();
                        }
                        Entry::Definition { .. } => {}
                        _ => diagnostics.push(Diagnostic::new(
                            start.bytes.clone(),
                            "",
                            "a schema contains definitions only",
                        )),
                    }
                }
            }
            return (None, diagnostics);
        };
        let document = self.evaluate(&operator.root, "", &mut diagnostics);
        let unified = self.unify(&root, &document, "", &mut diagnostics);
        let node = self.build_node(&unified, "", &document.span, &mut diagnostics);
        (node, diagnostics)
    }

    // ---- from expressions to constraints ----

    fn evaluate(
        &self,
        spanned: &SpannedExpr,
        path: &str,
        diagnostics: &mut Diagnostics,
    ) -> SpannedConstraint {
        let span = spanned.span.clone();
        let constraint = match &spanned.expr {
            Expr::Scalar(scalar) => Constraint::Scalar(scalar.clone()),
            Expr::Type(name) => match TYPES.iter().find(|(known, _)| known == name) {
                Some((_, ty)) => Constraint::Bounded(Some(*ty), Vec::new()),
                None => Constraint::Any,
            },
            Expr::Bound(comparison, scalar) => Constraint::Bounded(None, vec![(*comparison, scalar.clone())]),
            Expr::Reference(name) => return self.resolve(name, span, path, diagnostics),
            Expr::Record(entries) => {
                Constraint::Record(self.evaluate_record(entries, &span, path, diagnostics))
            }
            Expr::List(items, rest) => {
                let inner = |index| format!("{path}[{index}]");
                let items = items.iter().enumerate();
                let items =
                    items.map(|(index, item)| self.evaluate(item, &inner(index), diagnostics)).collect();
                let rest = rest.as_ref().map(|rest| Box::new(self.evaluate(rest, path, diagnostics)));
                Constraint::List(items, rest)
            }
            Expr::Conjunction(all) => {
                let mut constraints = all
                    .iter()
                    .map(|one| self.evaluate(one, path, diagnostics))
                    .collect::<Vec<_>>()
                    .into_iter();
                let first = constraints.next().map_or(Constraint::Any, |first| first.constraint);
                let first = SpannedConstraint { constraint: first, span: span.clone() };
                let unified = constraints.fold(first, |all, one| self.unify(&all, &one, path, diagnostics));
                return SpannedConstraint { span, ..unified };
            }
            Expr::Disjunction(all) => Constraint::Disjunction(
                all.iter()
                    .map(|(is_default, one)| (*is_default, self.evaluate(one, path, diagnostics)))
                    .collect(),
            ),
        };
        SpannedConstraint { constraint, span }
    }

    /// Resolves a definition. One of the operator's file takes precedence over the schema's.
    fn resolve(
        &self,
        name: &str,
        span: Span,
        path: &str,
        diagnostics: &mut Diagnostics,
    ) -> SpannedConstraint {
        let operator = self.operator.filter(|_| span.source == Source::Operator);
        let found =
            operator.and_then(|file| definition(file, name)).or_else(|| definition(self.schema, name));
        let Some(found) = found else {
            diagnostics.push(Diagnostic::new(span.bytes.clone(), path, format!("no definition {name}")));
            return SpannedConstraint { constraint: Constraint::Invalid, span };
        };
        if self.resolving.borrow().iter().any(|known| known == name) {
            diagnostics.push(Diagnostic::new(
                span.bytes.clone(),
                path,
                format!("the definition {name} uses itself"),
            ));
            return SpannedConstraint { constraint: Constraint::Invalid, span };
        }
        self.resolving.borrow_mut().push(name.to_string());
        let evaluated = self.evaluate(found, path, diagnostics);
        self.resolving.borrow_mut().pop();
        SpannedConstraint { constraint: evaluated.constraint, span }
    }

    fn evaluate_record(
        &self,
        entries: &[Entry],
        span: &Span,
        path: &str,
        diagnostics: &mut Diagnostics,
    ) -> Record {
        let mut record = Record { is_open: span.source == Source::Operator, ..Record::default() };
        for entry in entries {
            match entry {
                Entry::Field { name, name_span, is_optional, value } => {
                    let inner = join(path, name);
                    let value = self.evaluate(value, &inner, diagnostics);
                    let (name_span, is_optional) = (name_span.clone(), *is_optional);
                    match record.fields.iter().position(|field| field.name == *name) {
                        None => {
                            record.fields.push(Field { name: name.clone(), name_span, is_optional, value })
                        }
                        Some(known) => {
                            let unified =
                                self.unify(&record.fields[known].value, &value, &inner, diagnostics);
                            record.fields[known].value = unified;
                        }
                    }
                }
                Entry::OtherFields(value) => {
                    record.other_fields = Some(Box::new(self.evaluate(value, path, diagnostics)))
                }
                Entry::Open => record.is_open = true,
                Entry::Embedded(value) => match self.evaluate(value, path, diagnostics).constraint {
                    Constraint::Record(mut inner) => {
                        let is_open = record.is_open;
                        inner.is_open = true;
                        record.is_open = true;
                        record = self.unify_records(&record, &inner, path, diagnostics);
                        record.is_open = is_open;
                    }
                    Constraint::Invalid => {}
                    _ => diagnostics.push(Diagnostic::new(value.span.bytes.clone(), "", "expected a record")),
                },
                Entry::Definition { name_span, .. } if span.bytes.start != 0 => {
                    let message = "definitions are allowed at the top level only";
                    diagnostics.push(Diagnostic::new(name_span.bytes.clone(), "", message));
                }
                Entry::Definition { .. } => {}
            }
        }
        record
    }

    // ---- unification ----

    fn unify(
        &self,
        a: &SpannedConstraint,
        b: &SpannedConstraint,
        path: &str,
        diagnostics: &mut Diagnostics,
    ) -> SpannedConstraint {
        let span = if b.span.source == Source::Operator { b.span.clone() } else { a.span.clone() };
        let constraint = match (&a.constraint, &b.constraint) {
            (Constraint::Invalid, _) | (_, Constraint::Invalid) => Constraint::Invalid,
            (Constraint::Any, other) | (other, Constraint::Any) => other.clone(),
            (Constraint::Disjunction(alternatives), _) => {
                self.unify_alternatives(a, alternatives, b, path, diagnostics)
            }
            (_, Constraint::Disjunction(alternatives)) => {
                self.unify_alternatives(b, alternatives, a, path, diagnostics)
            }
            (Constraint::Record(x), Constraint::Record(y)) => {
                Constraint::Record(self.unify_records(x, y, path, diagnostics))
            }
            (Constraint::List(x, rest_x), Constraint::List(y, rest_y)) => {
                self.unify_lists((x, rest_x.as_deref()), (y, rest_y.as_deref()), path, &span, diagnostics)
            }
            (Constraint::Bounded(ty, bounds), Constraint::Bounded(other, other_bounds)) => {
                match intersect_types(*ty, *other) {
                    Some(ty) => {
                        let mut bounds = bounds.clone();
                        bounds.extend(other_bounds.iter().cloned());
                        Constraint::Bounded(ty, bounds)
                    }
                    None => report_conflict(a, b, path, &span, diagnostics),
                }
            }
            (Constraint::Bounded(ty, bounds), Constraint::Scalar(value))
            | (Constraint::Scalar(value), Constraint::Bounded(ty, bounds)) => {
                let typed = ty.map_or(Some(Constraint::Scalar(value.clone())), |ty| check_type(ty, value));
                match typed
                    .filter(|_| bounds.iter().all(|(comparison, bound)| satisfies(value, *comparison, bound)))
                {
                    Some(constraint) => constraint,
                    None => report_conflict(a, b, path, &span, diagnostics),
                }
            }
            (
                Constraint::Bounded(None | Some(Type::Address | Type::Text), _),
                Constraint::Address(address),
            )
            | (
                Constraint::Address(address),
                Constraint::Bounded(None | Some(Type::Address | Type::Text), _),
            ) => Constraint::Address(*address),
            (Constraint::Scalar(x), Constraint::Scalar(y)) if is_equal(x, y) => Constraint::Scalar(x.clone()),
            (Constraint::Address(x), Constraint::Address(y)) if x == y => Constraint::Address(*x),
            (Constraint::Address(x), Constraint::Scalar(Scalar::Text(y)))
            | (Constraint::Scalar(Scalar::Text(y)), Constraint::Address(x))
                if y.parse() == Ok(*x) =>
            {
                Constraint::Address(*x)
            }
            _ => report_conflict(a, b, path, &span, diagnostics),
        };
        SpannedConstraint { constraint, span }
    }

    /// The alternatives that unify with `other`. Where none does, reports the diagnostics of the alternative of the same kind.
    fn unify_alternatives(
        &self,
        any: &SpannedConstraint,
        alternatives: &[(bool, SpannedConstraint)],
        other: &SpannedConstraint,
        path: &str,
        diagnostics: &mut Diagnostics,
    ) -> Constraint {
        let variant = |spanned: &SpannedConstraint| std::mem::discriminant(&spanned.constraint);
        let (mut matching, mut closest): (Vec<(bool, SpannedConstraint)>, Option<Diagnostics>) =
            (Vec::new(), None);
        let has_default = alternatives.iter().any(|(is_default, _)| *is_default);
        for (is_default, one) in alternatives {
            let mut found = Vec::new();
            let unified = self.unify(one, other, path, &mut found);
            if !found.is_empty() {
                let nested = matches!(one.constraint, Constraint::Record(_) | Constraint::List(..));
                // An alternative that is not the default describes better what is allowed here.
                if nested && variant(one) == variant(other) && (closest.is_none() || !is_default) {
                    closest = Some(found);
                }
                continue;
            }
            match unified.constraint {
                Constraint::Disjunction(inner) => {
                    let inner_has_default = inner.iter().any(|(is_default, _)| *is_default);
                    for (inner_is_default, unified) in inner {
                        let is_default_in_both =
                            (*is_default || !has_default) && (inner_is_default || !inner_has_default);
                        matching.push((is_default_in_both && (has_default || inner_has_default), unified));
                    }
                }
                _ => matching.push((*is_default, unified)),
            }
        }
        match (matching.len(), closest) {
            (0, Some(mut closest)) => {
                diagnostics.append(&mut closest);
                Constraint::Invalid
            }
            (0, None) => {
                let span = if other.span.source == Source::Operator { &other.span } else { &any.span };
                report_conflict(any, other, path, span, diagnostics)
            }
            (1, _) => matching.remove(0).1.constraint,
            _ => Constraint::Disjunction(matching),
        }
    }

    fn unify_records(&self, a: &Record, b: &Record, path: &str, diagnostics: &mut Diagnostics) -> Record {
        let mut fields: Vec<Field> = Vec::new();
        for (record, other_record) in [(a, b), (b, a)] {
            for field in &record.fields {
                if fields.iter().any(|known| known.name == field.name) {
                    continue;
                }
                let inner = join(path, &field.name);
                let other = other_record.fields.iter().find(|other| other.name == field.name);
                let mut unified = field.clone();
                if let Some(other) = other {
                    unified.value = self.unify(&field.value, &other.value, &inner, diagnostics);
                    unified.is_optional &= other.is_optional;
                    if other.name_span.source == Source::Operator {
                        unified.name_span = other.name_span.clone();
                    }
                } else if let Some(other_fields) = &other_record.other_fields {
                    unified.value = self.unify(other_fields, &field.value, &inner, diagnostics);
                } else if !(other_record.is_open
                    || field.is_optional && field.name_span.source == Source::Schema)
                {
                    let names: Vec<&str> =
                        other_record.fields.iter().map(|field| field.name.as_str()).take(20).collect();
                    let names = if names.is_empty() { "none".into() } else { names.join(", ") };
                    let message = format!("no such field; one of {names}");
                    diagnostics.push(Diagnostic::new(field.name_span.bytes.clone(), inner, message));
                    unified.value =
                        SpannedConstraint { constraint: Constraint::Invalid, span: field.value.span.clone() };
                }
                fields.push(unified);
            }
        }
        let other_fields = match (&a.other_fields, &b.other_fields) {
            (Some(x), Some(y)) => Some(Box::new(self.unify(x, y, path, diagnostics))),
            (Some(one), None) | (None, Some(one)) => Some(one.clone()),
            (None, None) => None,
        };
        Record { fields, other_fields, is_open: a.is_open && b.is_open }
    }

    fn unify_lists(
        &self,
        (x, rest_x): (&[SpannedConstraint], Option<&SpannedConstraint>),
        (y, rest_y): (&[SpannedConstraint], Option<&SpannedConstraint>),
        path: &str,
        span: &Span,
        diagnostics: &mut Diagnostics,
    ) -> Constraint {
        let longest = x.len().max(y.len());
        if x.len() < longest && rest_x.is_none() || y.len() < longest && rest_y.is_none() {
            let message =
                format!("expected a list of length {}, found one of length {longest}", x.len().min(y.len()));
            diagnostics.push(Diagnostic::new(span.bytes.clone(), path, message));
            return Constraint::Invalid;
        }
        let mut items = Vec::new();
        for index in 0..longest {
            // The shorter list is continued by the constraint on its remaining items.
            if let (Some(one), Some(other)) = (x.get(index).or(rest_x), y.get(index).or(rest_y)) {
                items.push(self.unify(one, other, &format!("{path}[{index}]"), diagnostics));
            }
        }
        let rest = match (rest_x, rest_y) {
            (Some(one), Some(other)) => Some(Box::new(self.unify(one, other, path, diagnostics))),
            _ => None,
        };
        Constraint::List(items, rest)
    }

    // ---- from constraints to the tree ----

    fn build_node(
        &self,
        spanned: &SpannedConstraint,
        path: &str,
        within: &Span,
        diagnostics: &mut Diagnostics,
    ) -> Option<Node> {
        let is_operator_text = spanned.span.source == Source::Operator;
        let span = is_operator_text.then(|| spanned.span.bytes.clone());
        let enclosing = if is_operator_text { &spanned.span } else { within };
        let value = match &spanned.constraint {
            Constraint::Invalid => return None,
            Constraint::Scalar(scalar) => to_value(scalar),
            Constraint::Address(address) => Value::Address(*address),
            Constraint::List(items, _) => {
                let nodes = items.iter().enumerate().map(|(index, item)| {
                    self.build_node(item, &format!("{path}[{index}]"), enclosing, diagnostics)
                });
                Value::List(nodes.collect::<Vec<_>>().into_iter().collect::<Option<_>>()?)
            }
            Constraint::Record(record) => {
                let mut fields = Vec::new();
                let mut is_complete = true;
                for field in record.fields.iter().filter(|field| !field.is_optional) {
                    match self.build_node(&field.value, &join(path, &field.name), enclosing, diagnostics) {
                        Some(node) => fields.push((field.name.clone(), node)),
                        None => is_complete = false,
                    }
                }
                if !is_complete {
                    return None;
                }
                Value::Record(fields)
            }
            Constraint::Disjunction(alternatives) => {
                let default = alternatives.iter().find(|(is_default, _)| *is_default);
                if let Some((_, one)) = default {
                    return self
                        .build_node(one, path, enclosing, diagnostics)
                        .map(|node| Node { span, ..node });
                }
                return report_missing(spanned, path, enclosing, diagnostics);
            }
            Constraint::Any | Constraint::Bounded(..) => {
                return report_missing(spanned, path, enclosing, diagnostics)
            }
        };
        Some(Node { value, span })
    }
}

/// Reports a value that neither text gives, at the first byte of the enclosing record.
fn report_missing(
    spanned: &SpannedConstraint,
    path: &str,
    enclosing: &Span,
    diagnostics: &mut Diagnostics,
) -> Option<Node> {
    let start = enclosing.bytes.start;
    let message = format!("missing; expected {}", describe(spanned));
    let span: Range<usize> = if enclosing.source == Source::Operator { start..start + 1 } else { 0..1 };
    diagnostics.push(Diagnostic { is_missing: true, ..Diagnostic::new(span, path, message) });
    None
}

fn report_conflict(
    a: &SpannedConstraint,
    b: &SpannedConstraint,
    path: &str,
    span: &Span,
    diagnostics: &mut Diagnostics,
) -> Constraint {
    let (is_operator_text_a, is_operator_text_b) =
        (a.span.source == Source::Operator, b.span.source == Source::Operator);
    let message = match (is_operator_text_a, is_operator_text_b) {
        (true, false) => format!("expected {}, found {}", describe(b), describe(a)),
        (false, true) => format!("expected {}, found {}", describe(a), describe(b)),
        _ => format!("{} and {} conflict", describe(a), describe(b)),
    };
    diagnostics.push(Diagnostic::new(span.bytes.clone(), path, message));
    Constraint::Invalid
}

/// The type that both allow; the outer `None` where the types exclude each other.
fn intersect_types(a: Option<Type>, b: Option<Type>) -> Option<Option<Type>> {
    match (a, b) {
        (None, ty) | (ty, None) => Some(ty),
        (Some(a), Some(b)) if a == b => Some(Some(a)),
        (Some(Type::Int | Type::Number), Some(Type::Int | Type::Number)) => Some(Some(Type::Int)),
        (Some(Type::Text | Type::Address), Some(Type::Text | Type::Address)) => Some(Some(Type::Address)),
        _ => None,
    }
}

/// The constraint to exactly `value`, if the value is of type `ty`. Text of the form `IP:PORT` becomes an address.
fn check_type(ty: Type, value: &Scalar) -> Option<Constraint> {
    if let (Type::Address, Scalar::Text(text)) = (ty, value) {
        return text.parse().ok().map(Constraint::Address);
    }
    let fits = matches!(
        (ty, value),
        (Type::Text, Scalar::Text(_))
            | (Type::Int | Type::Number, Scalar::Int(_))
            | (Type::Number, Scalar::Number(_))
            | (Type::Bool, Scalar::Bool(_))
            | (Type::Duration, Scalar::Duration(_))
            | (Type::Size, Scalar::Size(_))
            | (Type::Null, Scalar::Null)
    );
    fits.then(|| Constraint::Scalar(value.clone()))
}

fn is_equal(a: &Scalar, b: &Scalar) -> bool {
    compare(a, b) == Some(std::cmp::Ordering::Equal)
}

/// `None` for values of different types.
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

fn satisfies(value: &Scalar, comparison: Comparison, bound: &Scalar) -> bool {
    let Some(order) = compare(value, bound) else { return comparison == Comparison::NotEqual };
    match comparison {
        Comparison::Less => order.is_lt(),
        Comparison::LessOrEqual => order.is_le(),
        Comparison::Greater => order.is_gt(),
        Comparison::GreaterOrEqual => order.is_ge(),
        Comparison::NotEqual => order.is_ne(),
    }
}

fn to_value(scalar: &Scalar) -> Value {
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

fn describe_scalar(scalar: &Scalar) -> String {
    match scalar {
        Scalar::Null => "null".into(),
        Scalar::Bool(flag) => flag.to_string(),
        Scalar::Int(int) => int.to_string(),
        Scalar::Number(number) => format_number(*number),
        Scalar::Text(text) => quote(&text.chars().take(60).collect::<String>()),
        Scalar::Duration(ns) => format_duration(*ns),
        Scalar::Size(bytes) => format_size(*bytes),
    }
}

/// The constraint in the language of the schema, shortened for diagnostics.
fn describe(spanned: &SpannedConstraint) -> String {
    match &spanned.constraint {
        Constraint::Any | Constraint::Invalid => "any value".into(),
        Constraint::Scalar(scalar) => describe_scalar(scalar),
        Constraint::Address(address) => format!("\"{address}\""),
        Constraint::Bounded(ty, bounds) => {
            let name = |ty: &Type| TYPES.iter().find(|(_, known)| known == ty).map_or("_", |(name, _)| name);
            let mut parts: Vec<String> = ty.iter().map(|ty| name(ty).to_string()).collect();
            parts.extend(bounds.iter().map(|(comparison, bound)| {
                let comparison = match comparison {
                    Comparison::Less => "<",
                    Comparison::LessOrEqual => "<=",
                    Comparison::Greater => ">",
                    Comparison::GreaterOrEqual => ">=",
                    Comparison::NotEqual => "!=",
                };
                format!("{comparison}{}", describe_scalar(bound))
            }));
            parts.join(" & ")
        }
        Constraint::Record(_) => "a record".into(),
        Constraint::List(..) => "a list".into(),
        Constraint::Disjunction(alternatives) => {
            let parts: Vec<String> = alternatives.iter().map(|(_, one)| describe(one)).collect();
            parts.join(" | ")
        }
    }
}
