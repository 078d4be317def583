//! The operator's file: typed records in a small language like CUE, with units, constraints, definitions and defaults.
//! Pure: text in, a checked tree or faults out. All faults of a text are told in one pass, each with its place.
//!
//! A program writes what it expects in the same language:
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
//! let root = schema.read(r#"listen: "127.0.0.1:7000", share: 0.5  // the rest by default"#).unwrap();
//! assert_eq!(root.get("wait").duration().as_millis(), 250);
//! assert!(root.find("names").is_none());
//!
//! let faults = schema.read("listen: 7\nshare: 1.5\nwiat: 1s").unwrap_err();
//! let lines: Vec<String> = faults.iter().map(|fault| fault.line("listen: 7\nshare: 1.5\nwiat: 1s")).collect();
//! assert_eq!(lines, [
//!     "1:9: listen: expected address, found 7",
//!     "2:8: share: expected number & >0 & <=1, found 1.5",
//!     "3:1: wiat: no such field; one of listen, wait, share, names",
//! ]);
//! ```
//!
//! | written | means |
//! | --- | --- |
//! | `name: value`, `name?: value`, `"any name": value` | a field, one that may be missing; separated by lines or commas |
//! | `{ ... }`, `a: b: 1` | a record; short for `a: {b: 1}` |
//! | `[string]: value` | each other field has this value's type |
//! | `[1, 2]`, `[...int]` | a list; of any length |
//! | `3`, `-2.5`, `1_000`, `true`, `null`, `"text"` | plain values |
//! | `250ms`, `1.5s`, `1h30m` | durations: ns us ms s m h |
//! | `512B`, `32KiB`, `1.5MiB`, `2GB` | sizes in bytes |
//! | `string int number bool duration size address null _` | types; an address is text of the form `"127.0.0.1:80"`; `_` is any |
//! | `>0`, `>=1ms`, `<=64KiB`, `!="x"` | constraints |
//! | `a & b`, `a \| b`, `*3 \| int` | both; one of them; `*` marks the default |
//! | `#Name: value`, `#Name`, `#Name & {...}` | a definition, its use, its use with more said |
//! | `// words` | a comment |
//!
//! What differs from CUE: no references to fields, no expressions, imports, templates or interpolation; durations, sizes and
//! addresses are types; a record of the schema is closed unless `...` stands in it.

mod faults;
mod shapes;
mod syntax;
mod tree;

pub use faults::{render, Fault};
pub use tree::{Node, Value};

use syntax::{File, Place};

/// Longest text, in bytes, and deepest nesting that is read.
pub const LONGEST: usize = 256 * 1024;
pub const DEEPEST: usize = 48;
/// Faults told of one text at the most.
pub const MOST_FAULTS: usize = 50;

/// What a program expects of its operator's file: the definition `#Root` of a text.
#[derive(Debug)]
pub struct Schema {
    file: File,
}

impl Schema {
    /// A fault here is the program's own.
    pub fn new(text: &str) -> Result<Schema, Vec<Fault>> {
        let file = syntax::parse(text, Place::Schema)?;
        let schema = Schema { file };
        // Its own definitions must fit together.
        let (_, faults) = shapes::Shaper::new(&schema.file, None).root();
        if faults.is_empty() {
            Ok(schema)
        } else {
            Err(faults)
        }
    }

    /// Reads an operator's text against the schema; all that is wrong with it otherwise, by place.
    pub fn read(&self, text: &str) -> Result<Node, Vec<Fault>> {
        let (file, mut faults) = match syntax::parse_all(text, Place::Operator) {
            (file, faults) if faults.is_empty() => (file, faults),
            // What could be read is checked too, but a field that could not be read is not called missing.
            (file, faults) => (file, faults),
        };
        let broken = !faults.is_empty();
        let (node, more) = shapes::Shaper::new(&self.file, Some(&file)).root();
        faults.extend(more.into_iter().filter(|fault| !(broken && fault.is_missing())));
        faults.sort_by_key(|fault| fault.span.start);
        faults.truncate(MOST_FAULTS);
        match node {
            Some(node) if faults.is_empty() => Ok(node),
            _ => Err(faults),
        }
    }
}
