//! Policy programs: they are bounded, and errors are reported with line and column.

use crosslane_coordination::program::{DEFAULT, Error, Input, Program};
use crosslane_state::request::{Class, Decision};
use rstest::rstest;

fn input(method: &str, path: &str) -> Input {
    Input { method: method.into(), path: path.into(), ..Input::default() }
}

struct Case {
    program: &'static str,
    input: Input,
    decision: Decision,
}

#[rstest]
#[case(Case {
    program: DEFAULT,
    input: input("POST", "/v1/completions"),
    decision: Decision { class: Class::Patient, repeatable: true, domains: vec![] },
})]
#[case(Case {
    program: DEFAULT,
    input: input("POST", "/booking/confirm"),
    decision: Decision { class: Class::Quick, repeatable: false, domains: vec![] },
})]
#[case(Case {
    program: "#{ class: if prompt_tokens > 1000 { `patient` } else { `quick` }, repeatable: true, \
              domains: if organisation == `dept` { [`Aarau`] } else { [] } }",
    input: Input { organisation: "dept".into(), prompt_tokens: 2_000, ..Input::default() },
    decision: Decision { class: Class::Patient, repeatable: true, domains: vec!["Aarau".into()] },
})]
fn decision(#[case] case: Case) {
    assert_eq!(Program::compile(case.program).unwrap().evaluate(&case.input), Ok(case.decision));
}

#[rstest]
#[case("#{ class: \"quick\",\n  repeatable: tru e }", 2)]
#[case("while true {}", 1)]
#[case("let a = 1;\nloop { a += 1; }", 2)]
#[case("fn f(n) { f(n + 1) }\nf(0)", 1)]
fn syntax_errors_name_the_line(#[case] program: &str, #[case] expected: usize) {
    match Program::compile(program) {
        Err(Error::Syntax { line, column, .. }) => {
            assert_eq!(line, expected);
            assert!(column > 0);
        }
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case("42", "result")]
#[case("#{ class: \"slow\", repeatable: true }", "class")]
#[case("#{ class: \"quick\" }", "repeatable")]
#[case("#{ class: \"quick\", repeatable: true, domains: 7 }", "domains")]
fn invalid_results_name_the_field(#[case] program: &str, #[case] expected: &str) {
    match Program::check(program, &[Input::default()]) {
        Err(Error::Result { field, .. }) => assert_eq!(field, expected),
        other => panic!("{other:?}"),
    }
}

#[rstest]
fn a_program_can_neither_run_long_nor_grow_large() {
    let steps = "s+=1;".repeat(12_000);
    let many_steps = format!("let s = 0; {steps} #{{ class: \"quick\", repeatable: true }}");
    let too_long = Program::compile(&" ".repeat(100_000));
    assert!(matches!(too_long, Err(Error::TooLong { bytes: 100_000 })));
    let large_string = "let s = \"0123456789012345678901234567890123456789\"; s += s; s += s; s += s; \
                 s += s; s += s; s += s; s += s; #{ class: s, repeatable: true }";
    for program in [many_steps.as_str(), large_string] {
        let result = Program::check(program, &[Input::default()]);
        assert!(matches!(result, Err(Error::Evaluation { .. })), "{result:?}");
    }
}
