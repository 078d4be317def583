//! Reader of the operator's file: typed records in a small language like CUE, with units, constraints, definitions and defaults.
//! No I/O: a text goes in, a checked tree or diagnostics come out. One pass reports all errors of a text, each with its
//! position.
//!
//! A program writes its schema in the same language:
//!
//! ```
//! use cypresscleat_operator_config::Schema;
//!
//! let schema = Schema::new(r#"
//!     #Root: {
//!         listen: address
//!         wait:   *250ms | (duration & >0s & <=10s)
//!         share:  number & >0 & <=1
//!         names?: [...string]
//!     }
//! "#).unwrap();
//! let root = schema.read(r#"listen: "127.0.0.1:7000", share: 0.5  // the other fields take their defaults"#).unwrap();
//! assert_eq!(root.get("wait").duration().as_millis(), 250);
//! assert!(root.find("names").is_none());
//!
//! let diagnostics = schema.read("listen: 7\nshare: 1.5\nwiat: 1s").unwrap_err();
//! let lines: Vec<String> = diagnostics.iter().map(|diagnostic| diagnostic.to_line("listen: 7\nshare: 1.5\nwiat: 1s")).collect();
//! assert_eq!(lines, [
//!     "1:9: listen: expected address, found 7",
//!     "2:8: share: expected number & >0 & <=1, found 1.5",
//!     "3:1: wiat: no such field; one of listen, wait, share, names",
//! ]);
//! ```
//!
//! | written | means |
//! | --- | --- |
//! | `name: value`, `name?: value`, `"any name": value` | a field, an optional field; separated by line ends or commas |
//! | `{ ... }`, `a: b: 1` | a record; short form of `a: {b: 1}` |
//! | `[string]: value` | the constraint on every other field |
//! | `[1, 2]`, `[...int]` | a list; a list of any length |
//! | `3`, `-2.5`, `1_000`, `true`, `null`, `"text"` | literal values |
//! | `250ms`, `1.5s`, `1h30m` | durations: ns us ms s m h |
//! | `512B`, `32KiB`, `1.5MiB`, `2GB` | sizes in bytes |
//! | `string int number bool duration size address null _` | types; an address is text of the form `"127.0.0.1:80"`; `_` is any value |
//! | `>0`, `>=1ms`, `<=64KiB`, `!="x"` | constraints |
//! | `a & b`, `a \| b`, `*3 \| int` | both constraints; one of them; `*` marks the default |
//! | `#Name: value`, `#Name`, `#Name & {...}` | a definition, a use, a use with further constraints |
//! | `// text` | a comment |
//!
//! Differences from CUE: no references to fields, no expressions, imports, templates or interpolation; durations, sizes and
//! addresses are types; a record of the schema is closed unless it contains `...`.

mod constraints;
mod diagnostics;
mod syntax;
mod tree;

pub use diagnostics::{render, Diagnostic};
pub use tree::{Node, Value};

use syntax::{Source, SourceFile};

/// Maximum size of a text.
pub const MAX_TEXT_BYTES: usize = 256 * 1024;
/// Maximum nesting of values; it bounds the use of the stack.
pub const MAX_NESTING: usize = 48;
/// Maximum number of diagnostics for one text.
pub const MAX_DIAGNOSTICS: usize = 50;

/// A schema for the operator's file: the definition `#Root` of a text.
#[derive(Debug)]
pub struct Schema {
    file: SourceFile,
}

impl Schema {
    /// Parses a schema. An error here is a defect of the program, not of the operator's file.
    pub fn new(text: &str) -> Result<Schema, Vec<Diagnostic>> {
        let file = syntax::parse(text, Source::Schema)?;
        let schema = Schema { file };
        // The definitions of a schema must be consistent.
        let (_, diagnostics) = constraints::Evaluator::new(&schema.file, None).evaluate_root();
        if diagnostics.is_empty() {
            Ok(schema)
        } else {
            Err(diagnostics)
        }
    }

    /// Checks an operator's text against the schema. Returns the tree, or all diagnostics in the order of the text.
    pub fn read(&self, text: &str) -> Result<Node, Vec<Diagnostic>> {
        let (file, mut diagnostics) = match syntax::parse_all(text, Source::Operator) {
            (file, diagnostics) if diagnostics.is_empty() => (file, diagnostics),
            // The parts that parsed are checked too, but a field that did not parse is not reported as missing.
            (file, diagnostics) => (file, diagnostics),
        };
        let has_syntax_errors = !diagnostics.is_empty();
        let (node, other_diagnostics) = constraints::Evaluator::new(&self.file, Some(&file)).evaluate_root();
        diagnostics.extend(
            other_diagnostics
                .into_iter()
                .filter(|diagnostic| !(has_syntax_errors && diagnostic.is_missing())),
        );
        diagnostics.sort_by_key(|diagnostic| diagnostic.span.start);
        diagnostics.truncate(MAX_DIAGNOSTICS);
        match node {
            Some(node) if diagnostics.is_empty() => Ok(node),
            _ => Err(diagnostics),
        }
    }
}
