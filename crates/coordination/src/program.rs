//! Policy programs: short Rhai scripts that are compiled once, have no loops and are bounded in steps.

use crosslane_state::request::{Class, Decision};
use derive_more::{Display, Error};
use rhai::{AST, Dynamic, Engine, Map, Scope};

/// Program in force until one is published.
pub const DEFAULT: &str = r#"#{
    class: if path.starts_with("/v1/") { "patient" } else { "quick" },
    repeatable: method == "GET" || path.starts_with("/v1/"),
}"#;

/// Longest program.
const MAX_PROGRAM_BYTES: usize = 65_536;

/// Most steps of an evaluation.
const MAX_OPERATIONS: u64 = 10_000;

/// Longest string that a program may create.
const MAX_STRING_BYTES: usize = 4_096;

/// Most entries of an array or map.
const MAX_COLLECTION_ENTRIES: usize = 64;

/// Deepest nesting of expressions.
const MAX_EXPRESSION_DEPTH: usize = 32;

/// Keywords disabled because they allow long-running programs.
const DISABLED_SYMBOLS: [&str; 7] = ["while", "loop", "do", "for", "fn", "eval", "import"];

/// Why a program is rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// It does not parse.
    #[display("line {line}, column {column}: {message}")]
    Syntax {
        /// Line, starting at 1.
        line: usize,
        /// Column, starting at 1.
        column: usize,
        /// Message of the parser.
        message: String,
    },
    /// It is too long.
    #[display("a policy has at most {MAX_PROGRAM_BYTES} bytes, this one {bytes}")]
    TooLong {
        /// Length of the program.
        bytes: usize,
    },
    /// Its evaluation failed.
    #[display("{message}")]
    Evaluation {
        /// Message of the interpreter, with its position.
        message: String,
    },
    /// Its result has the wrong type or value.
    #[display("{field}: expected {expected}, found {found}")]
    Result {
        /// Field of the result.
        field: &'static str,
        /// Expected value.
        expected: &'static str,
        /// Actual value.
        found: String,
    },
}

/// Properties of a request that a program sees.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Input {
    /// Organisation of the caller.
    pub organisation: String,
    /// Requested model; empty for a plain service.
    pub model: String,
    /// HTTP method.
    pub method: String,
    /// Request path.
    pub path: String,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: i64,
    /// Most tokens to generate for the request.
    pub max_tokens: i64,
}

/// A compiled program.
#[derive(Debug)]
pub struct Program {
    engine: Engine,
    ast: AST,
}

impl Program {
    /// Compiles a program.
    pub fn compile(text: &str) -> Result<Self, Error> {
        if text.len() > MAX_PROGRAM_BYTES {
            return Err(Error::TooLong { bytes: text.len() });
        }
        let mut engine = Engine::new();
        engine
            .set_max_operations(MAX_OPERATIONS)
            .set_max_string_size(MAX_STRING_BYTES)
            .set_max_array_size(MAX_COLLECTION_ENTRIES)
            .set_max_map_size(MAX_COLLECTION_ENTRIES)
            .set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_EXPRESSION_DEPTH);
        for symbol in DISABLED_SYMBOLS {
            engine.disable_symbol(symbol);
        }
        engine.on_print(|_| {});
        let ast = engine.compile(text).map_err(|error| Error::Syntax {
            line: error.position().line().unwrap_or(1),
            column: error.position().position().unwrap_or(1),
            message: error.err_type().to_string(),
        })?;
        Ok(Self { engine, ast })
    }

    /// Compiles a program and evaluates it on samples.
    pub fn check(text: &str, samples: &[Input]) -> Result<Self, Error> {
        let program = Self::compile(text)?;
        for sample in samples {
            program.evaluate(sample)?;
        }
        Ok(program)
    }

    /// Evaluates the program for a request.
    pub fn evaluate(&self, input: &Input) -> Result<Decision, Error> {
        let mut scope = Scope::new();
        scope.push_constant("organisation", input.organisation.clone());
        scope.push_constant("model", input.model.clone());
        scope.push_constant("method", input.method.clone());
        scope.push_constant("path", input.path.clone());
        scope.push_constant("prompt_tokens", input.prompt_tokens);
        scope.push_constant("max_tokens", input.max_tokens);
        let result: Dynamic = self
            .engine
            .eval_ast_with_scope(&mut scope, &self.ast)
            .map_err(|error| Error::Evaluation { message: error.to_string() })?;
        decision(result)
    }
}

fn decision(result: Dynamic) -> Result<Decision, Error> {
    let found = result.type_name();
    let Some(map) = result.try_cast::<Map>() else {
        return Err(Error::Result {
            field: "result",
            expected: "a map with class, repeatable and domains",
            found: found.to_owned(),
        });
    };
    Ok(Decision {
        class: class(map.get("class"))?,
        repeatable: repeatable(map.get("repeatable"))?,
        domains: domains(map.get("domains"))?,
    })
}

fn class(value: Option<&Dynamic>) -> Result<Class, Error> {
    let text = value.map(ToString::to_string).unwrap_or_default();
    match text.as_str() {
        "quick" => Ok(Class::Quick),
        "patient" => Ok(Class::Patient),
        _ => {
            Err(Error::Result { field: "class", expected: "\"quick\" or \"patient\"", found: text })
        }
    }
}

fn repeatable(value: Option<&Dynamic>) -> Result<bool, Error> {
    value.and_then(|dynamic| dynamic.as_bool().ok()).ok_or_else(|| Error::Result {
        field: "repeatable",
        expected: "true or false",
        found: value.map(ToString::to_string).unwrap_or_default(),
    })
}

fn domains(value: Option<&Dynamic>) -> Result<Vec<String>, Error> {
    let Some(value) = value else {
        return Ok(Vec::new());
    };
    let mismatch = || Error::Result {
        field: "domains",
        expected: "an array of failure domains",
        found: value.to_string(),
    };
    let array = value.clone().into_array().map_err(|_| mismatch())?;
    array.into_iter().map(|element| element.into_string().map_err(|_| mismatch())).collect()
}
