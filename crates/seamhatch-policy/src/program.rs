//! Policy programs: compiled once, run for each request within hard limits.
//!
//! A program may define any of these functions, each with one parameter:
//!
//! | function | gets | returns | when absent |
//! | --- | --- | --- | --- |
//! | `classify` | request | `"critical"`, `"normal"`, `"bulk"`, `"background"` | `"normal"` |
//! | `retries` | request | 0 to 100 | 2 |
//! | `deadline_ms` | request | 1 to 120000 | 10000 |
//! | `repeatable` | request | bool | method is GET, HEAD or OPTIONS |
//! | `stop_sending` | server | bool | false |

use crate::error::ConfigurationError;
use rhai::{AST, Dynamic, Engine, Map, Scope};
use seamhatch_core::claims::LONGEST_REQUEST;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use seamhatch_core::priority::PriorityClass;
use serde::Serialize;
use std::collections::BTreeMap;

/// Operations of one function run.
const MAX_OPERATIONS: u64 = 20_000;
/// Nested calls.
const MAX_CALL_LEVELS: usize = 16;
/// Nesting of expressions.
const MAX_EXPRESSION_DEPTH: usize = 48;
/// Bytes of a string.
const MAX_STRING: usize = 16 * 1024;
/// Elements of an array or a map.
const MAX_ELEMENTS: usize = 512;
/// Retries that a policy may allow.
const MAX_RETRIES: i64 = 100;
/// Retries without a `retries` function.
const DEFAULT_RETRIES: u32 = 2;
/// Deadline without a `deadline_ms` function.
const DEFAULT_DEADLINE: Microseconds = 10_000 * MILLISECOND;
/// Longest deadline, in milliseconds.
const MAX_DEADLINE_MS: i64 = (LONGEST_REQUEST / MILLISECOND) as i64;

const CLASSIFY: &str = "classify";
const RETRIES: &str = "retries";
const DEADLINE: &str = "deadline_ms";
const REPEATABLE: &str = "repeatable";
const STOP_SENDING: &str = "stop_sending";
const FUNCTIONS: [&str; 5] = [CLASSIFY, RETRIES, DEADLINE, REPEATABLE, STOP_SENDING];

/// What a policy sees of a request.
#[derive(Debug, Clone, Default)]
pub struct PolicyRequest {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Service that it is routed to.
    pub service: String,
    /// Header fields from outside, names in lower case.
    pub headers: BTreeMap<String, String>,
}

impl PolicyRequest {
    fn to_map(&self) -> Map {
        let headers: Map =
            self.headers.iter().map(|(name, value)| (name.into(), Dynamic::from(value.clone()))).collect();
        let mut map = Map::new();
        map.insert("method".into(), self.method.clone().into());
        map.insert("path".into(), self.path.clone().into());
        map.insert("query".into(), self.query.clone().into());
        map.insert("service".into(), self.service.clone().into());
        map.insert("headers".into(), headers.into());
        map
    }
}

/// What a policy sees of a server when it decides whether to stop sending.
#[derive(Debug, Clone, Default)]
pub struct ServerView {
    /// Service of the server.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Slots it reports.
    pub slots: u32,
    /// Work it has, running and waiting, as last told.
    pub load: u32,
    /// Calls to it lost in a row.
    pub losses: u32,
}

/// What the policy decided for a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Decision {
    /// Order of shedding.
    pub class: PriorityClass,
    /// Retry tokens of the whole request.
    pub retries: u32,
    /// Time from admission to expiry.
    pub deadline: Microseconds,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Functions that failed, for which the safe default stands.
    pub failed: Vec<&'static str>,
}

/// A compiled policy program.
#[derive(Debug)]
pub struct PolicyProgram {
    engine: Engine,
    ast: AST,
    defined: Vec<&'static str>,
}

enum Failure {
    Run(String),
    Result { value: String, wanted: &'static str },
}

impl PolicyProgram {
    /// Compiles a program and checks the functions it defines.
    ///
    /// # Errors
    /// [`ConfigurationError::Compile`] or [`ConfigurationError::Signature`].
    pub fn compile(source: &str) -> Result<Self, ConfigurationError> {
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

    /// Decides a request. A function that fails is named in `failed`, and its
    /// safe default stands: the caller's class isn't raised, no retries, and
    /// not repeatable.
    #[must_use]
    pub fn decide(&self, request: &PolicyRequest) -> Decision {
        let mut failed = Vec::new();
        let argument = request.to_map();
        let class = self.class(&argument).unwrap_or_else(|_| {
            failed.push(CLASSIFY);
            PriorityClass::Normal
        });
        let retries = self.retries(&argument).unwrap_or_else(|_| {
            failed.push(RETRIES);
            0
        });
        let deadline = self.deadline(&argument).unwrap_or_else(|_| {
            failed.push(DEADLINE);
            DEFAULT_DEADLINE
        });
        let repeatable = self.repeatable_map(&argument, &request.method).unwrap_or_else(|_| {
            failed.push(REPEATABLE);
            false
        });
        Decision { class, retries, deadline, repeatable, failed }
    }

    /// Whether a request may run more than once; false when the function fails.
    #[must_use]
    pub fn repeatable(&self, request: &PolicyRequest) -> bool {
        self.repeatable_map(&request.to_map(), &request.method).unwrap_or(false)
    }

    /// Whether a server should get no work; false when the function is absent or fails.
    #[must_use]
    pub fn stop_sending(&self, server: &ServerView) -> bool {
        self.stop_sending_result(server).unwrap_or(false)
    }

    /// Runs every function on a request and reports the first failure.
    ///
    /// # Errors
    /// [`ConfigurationError::Run`] or [`ConfigurationError::Result`].
    pub fn try_on(&self, request: &PolicyRequest) -> Result<Decision, ConfigurationError> {
        let sample = format!("{} {}", request.method, request.path);
        let name = |function: &'static str| {
            let sample = sample.clone();
            move |failure| to_error(function, sample, failure)
        };
        let argument = request.to_map();
        Ok(Decision {
            class: self.class(&argument).map_err(name(CLASSIFY))?,
            retries: self.retries(&argument).map_err(name(RETRIES))?,
            deadline: self.deadline(&argument).map_err(name(DEADLINE))?,
            repeatable: self.repeatable_map(&argument, &request.method).map_err(name(REPEATABLE))?,
            failed: Vec::new(),
        })
    }

    /// Runs `stop_sending` on an idle server and reports a failure.
    ///
    /// # Errors
    /// [`ConfigurationError::Run`] or [`ConfigurationError::Result`].
    pub fn try_stop_sending(&self) -> Result<bool, ConfigurationError> {
        let server =
            ServerView { service: "sample".into(), zone: "sample".into(), slots: 8, load: 0, losses: 0 };
        self.stop_sending_result(&server)
            .map_err(|failure| to_error(STOP_SENDING, "an idle server".into(), failure))
    }

    fn class(&self, argument: &Map) -> Result<PriorityClass, Failure> {
        const WANTED: &str = "\"critical\", \"normal\", \"bulk\" or \"background\"";
        let Some(value) = self.run(CLASSIFY, argument.clone())? else {
            return Ok(PriorityClass::Normal);
        };
        let shown = show(&value);
        let name =
            value.into_string().map_err(|_| Failure::Result { value: shown.clone(), wanted: WANTED })?;
        name.parse().map_err(|_| Failure::Result { value: shown, wanted: WANTED })
    }

    fn retries(&self, argument: &Map) -> Result<u32, Failure> {
        let value = self.integer(RETRIES, argument, 0..=MAX_RETRIES, "an integer from 0 to 100")?;
        Ok(value.map_or(DEFAULT_RETRIES, |retries| retries as u32))
    }

    fn deadline(&self, argument: &Map) -> Result<Microseconds, Failure> {
        let value = self.integer(DEADLINE, argument, 1..=MAX_DEADLINE_MS, "an integer from 1 to 120000")?;
        Ok(value.map_or(DEFAULT_DEADLINE, |milliseconds| milliseconds as u64 * MILLISECOND))
    }

    fn repeatable_map(&self, argument: &Map, method: &str) -> Result<bool, Failure> {
        let value = self.boolean(REPEATABLE, argument.clone())?;
        Ok(value.unwrap_or(matches!(method, "GET" | "HEAD" | "OPTIONS")))
    }

    fn stop_sending_result(&self, server: &ServerView) -> Result<bool, Failure> {
        let mut map = Map::new();
        map.insert("service".into(), server.service.clone().into());
        map.insert("zone".into(), server.zone.clone().into());
        map.insert("slots".into(), i64::from(server.slots).into());
        map.insert("load".into(), i64::from(server.load).into());
        map.insert("losses".into(), i64::from(server.losses).into());
        Ok(self.boolean(STOP_SENDING, map)?.unwrap_or(false))
    }

    fn integer(
        &self,
        function: &'static str,
        argument: &Map,
        range: std::ops::RangeInclusive<i64>,
        wanted: &'static str,
    ) -> Result<Option<i64>, Failure> {
        let Some(value) = self.run(function, argument.clone())? else { return Ok(None) };
        match value.as_int() {
            Ok(number) if range.contains(&number) => Ok(Some(number)),
            _ => Err(Failure::Result { value: show(&value), wanted }),
        }
    }

    fn boolean(&self, function: &'static str, argument: Map) -> Result<Option<bool>, Failure> {
        let Some(value) = self.run(function, argument)? else { return Ok(None) };
        match value.as_bool() {
            Ok(flag) => Ok(Some(flag)),
            Err(_) => Err(Failure::Result { value: show(&value), wanted: "true or false" }),
        }
    }

    fn run(&self, function: &'static str, argument: Map) -> Result<Option<Dynamic>, Failure> {
        if !self.defined.contains(&function) {
            return Ok(None);
        }
        self.engine
            .call_fn::<Dynamic>(&mut Scope::new(), &self.ast, function, (argument,))
            .map(Some)
            .map_err(|error| Failure::Run(error.to_string()))
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

fn show(value: &Dynamic) -> String {
    const LONGEST: usize = 80;
    let text = format!("{value:?}");
    text.chars().take(LONGEST).collect()
}

fn to_error(function: &'static str, sample: String, failure: Failure) -> ConfigurationError {
    match failure {
        Failure::Run(detail) => ConfigurationError::Run { function, sample, detail },
        Failure::Result { value, wanted } => ConfigurationError::Result { function, sample, value, wanted },
    }
}
