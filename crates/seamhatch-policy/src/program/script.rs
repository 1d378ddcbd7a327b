//! Runs the functions of a program, within limits that keep a faulty one from holding up requests.

use crate::error::ConfigurationError;
use rhai::{AST, Dynamic, Engine, Map, Scope};

/// Operations of one function run. Chosen, not measured, as are the other limits here.
const MAX_OPERATIONS: u64 = 20_000;
/// Calls of functions within functions.
const MAX_CALL_LEVELS: usize = 16;
/// Expressions within expressions.
const MAX_EXPRESSION_DEPTH: usize = 48;
/// Bytes of a string that the program makes or gets.
const MAX_STRING: usize = 16 * 1024;
/// Elements of an array or a map that the program makes or gets.
const MAX_ELEMENTS: usize = 512;

pub(super) const CLASSIFY: &str = "classify";
pub(super) const RETRIES: &str = "retries";
pub(super) const DEADLINE: &str = "deadline_ms";
pub(super) const REPEATABLE: &str = "repeatable";
pub(super) const STOP_SENDING: &str = "stop_sending";
const FUNCTIONS: [&str; 5] = [CLASSIFY, RETRIES, DEADLINE, REPEATABLE, STOP_SENDING];

/// A compiled program and the engine that runs it.
#[derive(Debug)]
pub(super) struct PolicyScript {
    engine: Engine,
    ast: AST,
    /// Functions of [`FUNCTIONS`] that it has.
    defined: Vec<&'static str>,
}

/// Why a function gave no result.
pub(super) enum FunctionFailure {
    /// It failed while it ran, or passed a limit.
    Run(String),
    /// Its result is not of the type or the range that is wanted.
    Result { value: String, wanted: &'static str },
}

impl FunctionFailure {
    /// A result that can't be used.
    pub(super) fn of_result(value: &Dynamic, wanted: &'static str) -> Self {
        Self::Result { value: shortened(value), wanted }
    }

    /// The failure of a function on a sample request.
    pub(super) fn into_error(self, function: &'static str, sample: String) -> ConfigurationError {
        match self {
            Self::Run(detail) => ConfigurationError::Run { function, sample, detail },
            Self::Result { value, wanted } => ConfigurationError::Result { function, sample, value, wanted },
        }
    }
}

impl PolicyScript {
    /// Compiles a program and checks the functions that it defines.
    pub(super) fn compile(source: &str) -> Result<Self, ConfigurationError> {
        let engine = limited_engine();
        let ast = engine
            .compile(source)
            .map_err(|error| ConfigurationError::Compile { detail: error.to_string() })?;
        let mut defined = Vec::new();
        for function in FUNCTIONS {
            let parameters: Vec<usize> = ast
                .iter_functions()
                .filter(|known| known.name == function)
                .map(|known| known.params.len())
                .collect();
            if parameters.iter().any(|count| *count != 1) {
                return Err(ConfigurationError::Signature { function });
            }
            if !parameters.is_empty() {
                defined.push(function);
            }
        }
        Ok(Self { engine, ast, defined })
    }

    /// Whether the program has this function.
    pub(super) fn defines(&self, function: &'static str) -> bool {
        self.defined.contains(&function)
    }

    /// Whether reading a field that the argument does not have is a failure; otherwise it is `()`.
    pub(super) fn fail_on_missing_fields(&mut self, fail: bool) {
        self.engine.set_fail_on_invalid_map_property(fail);
    }

    /// Runs a function that returns an integer; none when it is absent.
    pub(super) fn integer(
        &self,
        function: &'static str,
        argument: &Map,
        range: std::ops::RangeInclusive<i64>,
        wanted: &'static str,
    ) -> Result<Option<i64>, FunctionFailure> {
        let Some(value) = self.run(function, argument.clone())? else { return Ok(None) };
        match value.as_int() {
            Ok(number) if range.contains(&number) => Ok(Some(number)),
            _ => Err(FunctionFailure::of_result(&value, wanted)),
        }
    }

    /// Runs a function that returns true or false; none when it is absent.
    pub(super) fn boolean(
        &self,
        function: &'static str,
        argument: Map,
    ) -> Result<Option<bool>, FunctionFailure> {
        let Some(value) = self.run(function, argument)? else { return Ok(None) };
        value.as_bool().map(Some).map_err(|_| FunctionFailure::of_result(&value, "true or false"))
    }

    /// Runs a function; none when it is absent.
    pub(super) fn run(
        &self,
        function: &'static str,
        argument: Map,
    ) -> Result<Option<Dynamic>, FunctionFailure> {
        if !self.defines(function) {
            return Ok(None);
        }
        self.engine
            .call_fn::<Dynamic>(&mut Scope::new(), &self.ast, function, (argument,))
            .map(Some)
            .map_err(|error| FunctionFailure::Run(error.to_string()))
    }
}

fn limited_engine() -> Engine {
    let mut engine = Engine::new();
    engine.set_max_operations(MAX_OPERATIONS);
    engine.set_max_call_levels(MAX_CALL_LEVELS);
    engine.set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_EXPRESSION_DEPTH);
    engine.set_max_string_size(MAX_STRING);
    engine.set_max_array_size(MAX_ELEMENTS);
    engine.set_max_map_size(MAX_ELEMENTS);
    engine.disable_symbol("eval");
    engine.on_print(|_| {});
    engine.on_debug(|_, _, _| {});
    engine
}

/// A value as errors show it.
fn shortened(value: &Dynamic) -> String {
    /// Characters; more would fill a line of an error. Chosen, not measured.
    const LONGEST: usize = 80;
    let text = format!("{value:?}");
    text.chars().take(LONGEST).collect()
}
