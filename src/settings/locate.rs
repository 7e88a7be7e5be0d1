//! Documents in JSON with comments, and their faults with source locations.

use {
    crate::error::{Error, Result},
    bilberryfront_decide::catalog::Step,
    jsonc_parser::{
        CollectOptions, ParseOptions,
        ast::{ObjectProp, Value},
        common::{Range, Ranged},
        errors::ParseError,
        parse_to_ast, parse_to_serde_value,
    },
    miette::{Diagnostic, NamedSource, SourceSpan},
    serde::de::DeserializeOwned,
    std::{path::Path, sync::Arc},
};

/// Minimum Jaro-Winkler similarity at which a valid name is suggested for an unknown one; 1 is equal.
const MIN_SIMILARITY: f64 = 0.7;

/// A document with at least one fault.
#[derive(Debug)]
#[derive(Diagnostic, thiserror::Error)]
#[error("{name} has {} {}", faults.len(), if faults.len() == 1 { "fault" } else { "faults" })]
pub struct InvalidDocument {
    /// Name of the document.
    pub name: String,
    /// Faults in the order of the text.
    #[related]
    pub faults: Vec<LocatedFault>,
}

/// A fault and its location in the document.
#[derive(Clone, Debug)]
#[derive(Diagnostic, thiserror::Error)]
#[error("{message}")]
pub struct LocatedFault {
    /// What is wrong.
    pub message: String,
    /// How to correct it.
    #[help]
    pub help: String,
    /// Text of the document.
    #[source_code]
    pub source_code: NamedSource<Arc<str>>,
    /// Location of the fault.
    #[label("here")]
    pub span: SourceSpan,
}

/// Name and text of a document.
#[derive(Clone, Debug)]
pub struct Document {
    name: String,
    text: Arc<str>,
}

impl Document {
    /// Reads a file.
    pub fn read(path: &Path) -> Result<Document> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::Read { path: path.into(), source })?;
        Ok(Document::new(path.display().to_string(), &text))
    }

    /// Creates a document from a text; faults refer to it as `name`.
    pub fn new(name: String, text: &str) -> Document {
        Document { name, text: text.into() }
    }

    /// Parses the document as a `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        parse_to_serde_value(&self.text, &parse_options()).map_err(|e| self.parse_error(&e))
    }

    /// Returns whether the document is an object that has any of these fields.
    pub fn has_any(&self, fields: &[&str]) -> bool {
        self.with_root(|root| {
            let object = root.as_object();
            object.is_some_and(|o| fields.iter().any(|f| o.get(f).is_some()))
        })
        .unwrap_or(false)
    }

    /// Returns a fault at the value under `path`, or under the longest prefix of `path` that exists.
    pub fn fault(&self, path: &[Step], message: impl Into<String>, help: &str) -> LocatedFault {
        let range = self.with_root(|root| find(root, path)).unwrap_or(Range::new(0, 0));
        self.fault_at(range, message.into(), help.into())
    }

    /// Returns an error with the faults in the order of the text if there are any.
    pub fn ensure_no_faults(&self, mut faults: Vec<LocatedFault>) -> Result<()> {
        faults.sort_by_key(|f| f.span.offset());
        match faults.is_empty() {
            true => Ok(()),
            false => Err(Box::new(InvalidDocument { name: self.name.clone(), faults }).into()),
        }
    }

    fn with_root<T>(&self, visit: impl FnOnce(&Value<'_>) -> T) -> Option<T> {
        let parsed = parse_to_ast(&self.text, &CollectOptions::default(), &parse_options()).ok()?;
        Some(visit(&parsed.value?))
    }

    fn parse_error(&self, error: &ParseError) -> Error {
        let message = error.kind().to_string();
        let help = help_for(&message);
        let range = self.with_root(|root| named_field(root, error.range(), &message)).flatten();
        let fault = self.fault_at(range.unwrap_or(error.range()), message, help);
        Box::new(InvalidDocument { name: self.name.clone(), faults: vec![fault] }).into()
    }

    fn fault_at(&self, range: Range, message: String, help: String) -> LocatedFault {
        LocatedFault {
            message,
            help,
            source_code: NamedSource::new(&self.name, self.text.clone()).with_language("json"),
            span: (range.start, range.end - range.start).into(),
        }
    }
}

/// Returns options for strict JSON with comments and trailing commas.
fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn find(root: &Value<'_>, path: &[Step]) -> Range {
    let mut value = root;
    for step in path {
        let next = match (step, value) {
            (Step::Field(name), Value::Object(object)) => object.get(name).map(|p| &p.value),
            (Step::Item(index), Value::Array(array)) => array.elements.get(*index),
            _ => None,
        };
        match next {
            Some(next) => value = next,
            None => break,
        }
    }
    value.range()
}

/// Returns the location of the name of an unknown or duplicate field, for which the parser reports only
/// the location of the object.
fn named_field(root: &Value<'_>, object: Range, message: &str) -> Option<Range> {
    if !message.starts_with("unknown field") && !message.starts_with("duplicate field") {
        return None;
    }
    let name = message.split('`').nth(1)?;
    let fields = fields_of(root, object.start)?;
    fields.iter().rfind(|p| p.name.as_str() == name).map(|p| p.name.range())
}

/// Returns the fields of the object that starts at offset `start`.
fn fields_of<'a, 'b>(value: &'b Value<'a>, start: usize) -> Option<&'b [ObjectProp<'a>]> {
    match value {
        Value::Object(object) if object.range.start == start => Some(&object.properties),
        Value::Object(o) => o.properties.iter().find_map(|p| fields_of(&p.value, start)),
        Value::Array(a) => a.elements.iter().find_map(|e| fields_of(e, start)),
        _ => None,
    }
}

/// Returns the help text for an error message of serde or the parser.
fn help_for(message: &str) -> String {
    let mut names = message.split('`').skip(1).step_by(2);
    if message.starts_with("unknown ") {
        let unknown = names.next().unwrap_or_default();
        return match most_similar(unknown, names) {
            Some(name) => format!("did you mean `{name}`?"),
            None => "remove it, or see docs/CONFIGURATION.md for the names".into(),
        };
    }
    if message.starts_with("missing field") {
        let name = names.next().unwrap_or_default();
        return format!("add `{name}` to this object; see the example in docs/CONFIGURATION.md");
    }
    if message.starts_with("duplicate field") {
        return "remove one of the two".into();
    }
    if message.ends_with("out of range") {
        return "write a number in the range that docs/CONFIGURATION.md lists".into();
    }
    if message.contains("socket address") {
        return "write IP:PORT, such as \"127.0.0.1:7000\"".into();
    }
    if message.starts_with("invalid ") {
        return "change the value to the type that is expected; docs/CONFIGURATION.md lists them"
            .into();
    }
    "the file must be JSON; comments and trailing commas are allowed".into()
}

fn most_similar<'a>(unknown: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names
        .map(|name| (strsim::jaro_winkler(unknown, name), name))
        .filter(|(similarity, _)| *similarity >= MIN_SIMILARITY)
        .max_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, name)| name)
}
