//! What is wrong with a text, where, and how it is shown.

use ariadne::{CharSet, Config, IndexType, Label, Report, ReportKind, Source};
use std::ops::Range;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Bytes of the text that it is about.
    pub span: Range<usize>,
    /// The field, as `scgi.routes[0].path`; empty where it is about none.
    pub path: String,
    pub what: String,
    pub(crate) missing: bool,
}

impl Fault {
    pub fn new(span: Range<usize>, path: impl Into<String>, what: impl Into<String>) -> Fault {
        Fault { span, path: path.into(), what: what.into(), missing: false }
    }
    pub(crate) fn is_missing(&self) -> bool {
        self.missing
    }

    /// What it says, with its field.
    pub fn says(&self) -> String {
        if self.path.is_empty() {
            self.what.clone()
        } else {
            format!("{}: {}", self.path, self.what)
        }
    }

    /// `LINE:COLUMN: field: what`, both counted from 1, columns in characters.
    pub fn line(&self, text: &str) -> String {
        let (line, column) = position(text, self.span.start);
        format!("{line}:{column}: {}", self.says())
    }
}

fn position(text: &str, at: usize) -> (usize, usize) {
    let before = &text[..text.floor_char_boundary(at)];
    let start = before.rfind('\n').map_or(0, |end| end + 1);
    (before.matches('\n').count() + 1, before[start..].chars().count() + 1)
}

/// All faults as a person reads them: place, line and carets, in plain ASCII without colours.
pub fn render(name: &str, text: &str, faults: &[Fault]) -> String {
    let config = Config::default()
        .with_color(false)
        .with_char_set(CharSet::Ascii)
        .with_index_type(IndexType::Byte)
        .with_compact(false);
    let mut out = Vec::new();
    for fault in faults {
        // The library takes whole characters only.
        let start = text.floor_char_boundary(fault.span.start);
        let span = (name, start..text.ceil_char_boundary(fault.span.end).max(start));
        let report = Report::build(ReportKind::Error, span.clone())
            .with_config(config)
            .with_message(fault.says())
            .with_label(Label::new(span).with_message(&fault.what))
            .finish();
        // A vector takes all that is written to it.
        let _ = report.write((name, Source::from(text)), &mut out);
    }
    let lines = String::from_utf8_lossy(&out);
    lines.lines().map(str::trim_end).fold(String::new(), |all, line| all + line + "\n")
}
