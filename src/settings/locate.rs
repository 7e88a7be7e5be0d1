//! Documents in JSON with comments whose faults are shown at their lines.

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

/// How alike two names must be for one to be proposed for the other; 1 is equal.
const ALIKE: f64 = 0.7;

/// A file with at least one fault.
#[derive(Debug)]
#[derive(Diagnostic, thiserror::Error)]
#[error("{name} has {} {}", faults.len(), if faults.len() == 1 { "fault" } else { "faults" })]
pub struct Invalid {
    /// The file.
    pub name: String,
    /// Its faults in the order of checking.
    #[related]
    pub faults: Vec<Located>,
}

/// A fault and its place.
#[derive(Clone, Debug)]
#[derive(Diagnostic, thiserror::Error)]
#[error("{message}")]
pub struct Located {
    /// What is wrong.
    pub message: String,
    /// What to do.
    #[help]
    pub help: String,
    /// The whole document.
    #[source_code]
    pub source_code: NamedSource<Arc<str>>,
    /// The wrong part.
    #[label("here")]
    pub span: SourceSpan,
}

/// The text of a document and its name.
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

    /// A document that was read elsewhere; faults call it `name`.
    pub fn new(name: String, text: &str) -> Document {
        Document { name, text: text.into() }
    }

    /// Reads the document as a `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T> {
        parse_to_serde_value(&self.text, &options()).map_err(|e| self.unparsable(&e))
    }

    /// Whether the document is an object that has one of these fields.
    pub fn has_any(&self, fields: &[&str]) -> bool {
        self.with_root(|root| {
            let object = root.as_object();
            object.is_some_and(|o| fields.iter().any(|f| o.get(f).is_some()))
        })
        .unwrap_or(false)
    }

    /// A fault at the value that `path` leads to, or at the last step that exists.
    pub fn fault(&self, path: &[Step], message: impl Into<String>, help: &str) -> Located {
        let range = self.with_root(|root| find(root, path)).unwrap_or(Range::new(0, 0));
        self.located(range, message.into(), help.into())
    }

    /// `Ok` when there are no faults; else an error that tells them in the order of the text.
    pub fn ensure_no_faults(&self, mut faults: Vec<Located>) -> Result<()> {
        faults.sort_by_key(|f| f.span.offset());
        match faults.is_empty() {
            true => Ok(()),
            false => Err(Box::new(Invalid { name: self.name.clone(), faults }).into()),
        }
    }

    fn with_root<T>(&self, look: impl FnOnce(&Value<'_>) -> T) -> Option<T> {
        let parsed = parse_to_ast(&self.text, &CollectOptions::default(), &options()).ok()?;
        Some(look(&parsed.value?))
    }

    fn unparsable(&self, error: &ParseError) -> Error {
        let message = error.kind().to_string();
        let help = advice(&message);
        let range = self.with_root(|root| offender(root, error.range(), &message)).flatten();
        let fault = self.located(range.unwrap_or(error.range()), message, help);
        Box::new(Invalid { name: self.name.clone(), faults: vec![fault] }).into()
    }

    fn located(&self, range: Range, message: String, help: String) -> Located {
        Located {
            message,
            help,
            source_code: NamedSource::new(&self.name, self.text.clone()).with_language("json"),
            span: (range.start, range.end - range.start).into(),
        }
    }
}

/// JSON with comments and trailing commas, and no other looseness.
fn options() -> ParseOptions {
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

/// The name of the field that `message` complains about, where the parser tells only the object.
fn offender(root: &Value<'_>, object: Range, message: &str) -> Option<Range> {
    if !message.starts_with("unknown field") && !message.starts_with("duplicate field") {
        return None;
    }
    let name = message.split('`').nth(1)?;
    let fields = fields_of(root, object.start)?;
    fields.iter().rfind(|p| p.name.as_str() == name).map(|p| p.name.range())
}

/// The fields of the object that starts at `start`.
fn fields_of<'a, 'b>(value: &'b Value<'a>, start: usize) -> Option<&'b [ObjectProp<'a>]> {
    match value {
        Value::Object(object) if object.range.start == start => Some(&object.properties),
        Value::Object(o) => o.properties.iter().find_map(|p| fields_of(&p.value, start)),
        Value::Array(a) => a.elements.iter().find_map(|e| fields_of(e, start)),
        _ => None,
    }
}

/// What to do about a message of serde or of the parser.
fn advice(message: &str) -> String {
    let mut names = message.split('`').skip(1).step_by(2);
    if message.starts_with("unknown ") {
        let wrong = names.next().unwrap_or_default();
        return match nearest(wrong, names) {
            Some(name) => format!("did you mean `{name}`?"),
            None => "remove it, or see docs/CONFIGURATION.md for the names".into(),
        };
    }
    if message.starts_with("missing field") {
        let name = names.next().unwrap_or_default();
        return format!("add `{name}` to this object; docs/CONFIGURATION.md has an example");
    }
    if message.starts_with("duplicate field") {
        return "remove one of the two".into();
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

fn nearest<'a>(wrong: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    names
        .map(|name| (strsim::jaro_winkler(wrong, name), name))
        .filter(|(likeness, _)| *likeness >= ALIKE)
        .max_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, name)| name)
}
