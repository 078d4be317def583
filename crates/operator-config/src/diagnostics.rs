//! Diagnostics: an error in a text, its position, and its rendering.

use ariadne::{CharSet, Config, IndexType, Label, Report, ReportKind, Source};
use std::ops::Range;

/// One error in a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The range of bytes in the text that the error concerns.
    pub span: Range<usize>,
    /// Path of the field, such as `scgi.routes[0].path`; empty where the error concerns no field.
    pub path: String,
    pub message: String,
    /// Whether a required field is missing.
    pub(crate) is_missing: bool,
}

impl Diagnostic {
    pub fn new(span: Range<usize>, path: impl Into<String>, message: impl Into<String>) -> Diagnostic {
        Diagnostic { span, path: path.into(), message: message.into(), is_missing: false }
    }
    pub(crate) fn is_missing(&self) -> bool {
        self.is_missing
    }

    /// The message, preceded by the path of the field if there is one.
    pub fn full_message(&self) -> String {
        if self.path.is_empty() {
            self.message.clone()
        } else {
            format!("{}: {}", self.path, self.message)
        }
    }

    /// `LINE:COLUMN: field: message`. Lines and columns count from 1, columns in characters.
    pub fn to_line(&self, text: &str) -> String {
        let (line, column) = position(text, self.span.start);
        format!("{line}:{column}: {}", self.full_message())
    }
}

fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = &text[..text.floor_char_boundary(offset)];
    let start = before.rfind('\n').map_or(0, |end| end + 1);
    (before.matches('\n').count() + 1, before[start..].chars().count() + 1)
}

/// Renders all diagnostics for a person: position, source line and carets, in plain ASCII without colours.
pub fn render(name: &str, text: &str, diagnostics: &[Diagnostic]) -> String {
    let config = Config::default()
        .with_color(false)
        .with_char_set(CharSet::Ascii)
        .with_index_type(IndexType::Byte)
        .with_compact(false);
    let mut output = Vec::new();
    for diagnostic in diagnostics {
        // ariadne requires spans at character boundaries.
        let start = text.floor_char_boundary(diagnostic.span.start);
        let span = (name, start..text.ceil_char_boundary(diagnostic.span.end).max(start));
        let report = Report::build(ReportKind::Error, span.clone())
            .with_config(config)
            .with_message(diagnostic.full_message())
            .with_label(Label::new(span).with_message(&diagnostic.message))
            .finish();
        // Writing to a vector cannot fail.
        let _ = report.write((name, Source::from(text)), &mut output);
    }
    let lines = String::from_utf8_lossy(&output);
    lines.lines().map(str::trim_end).fold(String::new(), |rendered, line| rendered + line + "\n")
}
