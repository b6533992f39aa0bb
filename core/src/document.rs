//! Parser for JSON with comments that reports all problems of a file at once, each with its
//! position.

use std::fmt;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::parse_to_ast;
use jsonc_parser::parse_to_serde_value;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Segment;

/// Maximum number of problems reported for one file. Beyond that, further problems are mostly
/// consequences of earlier ones.
const MAX_PROBLEMS: usize = 100;

plain_data! {
    /// A problem in a file.
    #[derive(PartialOrd, Ord)]
    pub struct FileProblem {
        /// Name of the file, as passed to the parser.
        pub file: String,
        /// Line number, starting at 1.
        pub line: u32,
        /// Column in characters, starting at 1.
        pub column: u32,
        /// Path of the field, such as `services.seal-check.run_time`; empty for the whole file.
        pub field: String,
        /// Description of the problem.
        pub message: String,
    }
}

impl fmt::Display for FileProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.field.is_empty() {
            write!(formatter, "{}: ", self.field)?;
        }
        formatter.write_str(&self.message)
    }
}

/// One segment of a path: an object key or an array index.
#[derive(Clone, Debug, PartialEq, Eq)]
enum PathStep {
    Key(String),
    Index(usize),
}

/// The path from the root of a document to a field. The default is the root.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FieldPath(Vec<PathStep>);

impl FieldPath {
    /// Returns the path of the field `name` of the object at this path.
    #[must_use]
    pub fn key(&self, name: &str) -> Self {
        self.with(PathStep::Key(name.to_owned()))
    }

    /// Returns the path of an element of the array at this path.
    #[must_use]
    pub fn index(&self, index: usize) -> Self {
        self.with(PathStep::Index(index))
    }

    fn with(&self, step: PathStep) -> Self {
        let mut path = self.clone();
        path.0.push(step);
        path
    }

    fn from_error(path: &serde_path_to_error::Path) -> Self {
        let steps = path.iter().filter_map(|segment| match segment {
            Segment::Seq { index } => Some(PathStep::Index(*index)),
            Segment::Map { key } => Some(PathStep::Key(key.clone())),
            Segment::Enum { .. } | Segment::Unknown => None,
        });
        Self(steps.collect())
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, step) in self.0.iter().enumerate() {
            match step {
                PathStep::Key(name) if index == 0 => formatter.write_str(name)?,
                PathStep::Key(name) => write!(formatter, ".{name}")?,
                PathStep::Index(number) => write!(formatter, "[{number}]")?,
            }
        }
        Ok(())
    }
}

/// A parsed file that maps fields to positions and collects problems.
#[derive(Debug)]
pub struct JsonDocument<'t> {
    name: &'t str,
    text: &'t str,
    root: ast::Value<'t>,
    value: Value,
    reported: Vec<FieldPath>,
    problems: Vec<FileProblem>,
}

impl<'t> JsonDocument<'t> {
    /// Parses a file.
    ///
    /// Duplicate fields are collected as problems and do not fail the parse.
    ///
    /// # Errors
    ///
    /// Returns a problem at the position of the first syntax error, or with the whole file if it
    /// is empty.
    pub fn parse(name: &'t str, text: &'t str) -> Result<Self, FileProblem> {
        let options = parse_options();
        let parsed = parse_to_ast(text, &CollectOptions::default(), &options)
            .map_err(|error| syntax_problem(name, text, &error))?;
        let value = parse_to_serde_value(text, &options)
            .map_err(|error| syntax_problem(name, text, &error))?;
        let root = parsed
            .value
            .ok_or_else(|| file_problem(name, "the file holds no value"))?;
        let mut document = Self {
            name,
            text,
            root,
            value,
            reported: Vec::new(),
            problems: Vec::new(),
        };
        document.report_duplicates();
        Ok(document)
    }

    /// Deserializes the document as `T` and collects a problem for each invalid field.
    ///
    /// An invalid field is replaced by the field at the same path of `template`, which must be a
    /// valid document, and the rest of the document is checked as well. Each map and array of the
    /// template needs one entry, which substitutes for every entry of the document.
    ///
    /// Returns `None` if an invalid field has no substitute or the file has too many problems.
    pub fn deserialize<T: DeserializeOwned>(&mut self, template: &Value) -> Option<T> {
        let mut value = self.value.clone();
        while self.problems.len() < MAX_PROBLEMS {
            let error = match serde_path_to_error::deserialize::<_, T>(&value) {
                Ok(value) => return Some(value),
                Err(error) => error,
            };
            let message = error.inner().to_string();
            let mut path = FieldPath::from_error(error.path());
            if let Some(name) = missing_field(&message) {
                path = path.key(name);
            }
            self.report(&path, message.clone());
            let substitute = template_at(template, &path).filter(|_| !is_unknown_field(&message));
            if !replace_at(&mut value, &path, substitute) {
                return None;
            }
        }
        None
    }

    /// Adds a problem with the field at `path`.
    pub fn report(&mut self, path: &FieldPath, message: impl Into<String>) {
        let (line, column) = self.position(path);
        self.reported.push(path.clone());
        self.problems.push(FileProblem {
            file: self.name.to_owned(),
            line,
            column,
            field: path.to_string(),
            message: message.into(),
        });
    }

    /// Returns whether a problem with the field at `path` or with one of its parents was reported.
    #[must_use]
    pub fn is_reported(&self, path: &FieldPath) -> bool {
        self.reported
            .iter()
            .any(|reported| path.0.starts_with(&reported.0))
    }

    /// Returns the collected problems, ordered by position.
    #[must_use]
    pub fn into_problems(mut self) -> Vec<FileProblem> {
        self.problems.sort();
        self.problems
    }

    /// Returns the line and column of the field at `path`, or of its nearest existing parent.
    #[must_use]
    pub fn position(&self, path: &FieldPath) -> (u32, u32) {
        let mut value = &self.root;
        let mut start = value.start();
        for step in &path.0 {
            let Some((inner, inner_start)) = child(value, step) else {
                break;
            };
            value = inner;
            start = inner_start;
        }
        text_position(self.text, start)
    }

    fn report_duplicates(&mut self) {
        let mut found = Vec::new();
        find_duplicates(&self.root, &FieldPath::default(), &mut found);
        for (path, start) in found {
            let (line, column) = text_position(self.text, start);
            self.problems.push(FileProblem {
                file: self.name.to_owned(),
                line,
                column,
                field: path.to_string(),
                message: "the field is given twice".to_owned(),
            });
        }
    }
}

const fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Creates a problem with a file as a whole.
#[must_use]
pub fn file_problem(name: &str, message: &str) -> FileProblem {
    FileProblem {
        file: name.to_owned(),
        line: 1,
        column: 1,
        field: String::new(),
        message: message.to_owned(),
    }
}

fn syntax_problem(name: &str, text: &str, error: &jsonc_parser::errors::ParseError) -> FileProblem {
    let (line, column) = text_position(text, error.range().start);
    FileProblem {
        line,
        column,
        ..file_problem(name, &format!("not valid JSON: {}", error.kind()))
    }
}

fn text_position(text: &str, start: usize) -> (u32, u32) {
    let before = &text[..start.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|&c| c != '\n').count() + 1;
    let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
    (number(line), number(column))
}

/// Returns the child of `value` at `step` and the byte offset of its key or element.
fn child<'v, 't>(
    value: &'v ast::Value<'t>,
    step: &PathStep,
) -> Option<(&'v ast::Value<'t>, usize)> {
    match (value, step) {
        (ast::Value::Object(object), PathStep::Key(name)) => object
            .properties
            .iter()
            .rfind(|property| property.name.as_str() == name)
            .map(|property| (&property.value, property.start())),
        (ast::Value::Array(array), PathStep::Index(index)) => array
            .elements
            .get(*index)
            .map(|element| (element, element.start())),
        _ => None,
    }
}

fn find_duplicates(value: &ast::Value<'_>, path: &FieldPath, found: &mut Vec<(FieldPath, usize)>) {
    match value {
        ast::Value::Object(object) => {
            for (index, property) in object.properties.iter().enumerate() {
                let name = property.name.as_str();
                let earlier = &object.properties[..index];
                if earlier.iter().any(|other| other.name.as_str() == name) {
                    found.push((path.key(name), property.start()));
                }
                find_duplicates(&property.value, &path.key(name), found);
            }
        }
        ast::Value::Array(array) => {
            for (index, element) in array.elements.iter().enumerate() {
                find_duplicates(element, &path.index(index), found);
            }
        }
        _ => {}
    }
}

/// Extracts the field name from serde's message about a missing field.
fn missing_field(message: &str) -> Option<&str> {
    message.strip_prefix("missing field `")?.strip_suffix('`')
}

fn is_unknown_field(message: &str) -> bool {
    message.starts_with("unknown field")
}

fn template_at<'v>(template: &'v Value, path: &FieldPath) -> Option<&'v Value> {
    path.0.iter().try_fold(template, |value, step| match step {
        PathStep::Key(name) => value
            .get(name)
            .or_else(|| value.as_object()?.values().next()),
        PathStep::Index(_) => value.get(0),
    })
}

/// Replaces the value at `path` by `substitute`, or removes it without one. Returns whether the
/// document changed.
fn replace_at(value: &mut Value, path: &FieldPath, substitute: Option<&Value>) -> bool {
    let Some((last, parents)) = path.0.split_last() else {
        return substitute.is_some_and(|whole| {
            *value = whole.clone();
            true
        });
    };
    let parent = parents.iter().try_fold(value, |inner, step| match step {
        PathStep::Key(name) => inner.get_mut(name),
        PathStep::Index(index) => inner.get_mut(index),
    });
    match (parent, last, substitute) {
        (Some(Value::Object(object)), PathStep::Key(name), Some(new)) => {
            object.insert(name.clone(), new.clone()).as_ref() != Some(new)
        }
        (Some(Value::Object(object)), PathStep::Key(name), None) => object.remove(name).is_some(),
        (Some(Value::Array(array)), PathStep::Index(index), Some(new)) => {
            array.get_mut(*index).is_some_and(|old| {
                *old = new.clone();
                true
            })
        }
        _ => false,
    }
}
