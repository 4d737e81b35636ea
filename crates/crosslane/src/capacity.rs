//! The arithmetic of docs/CAPACITY.md: measured slopes times the planned size.

use crate::config;
use crate::error::Error;
use serde::Deserialize;

/// One product: a measured slope times a size.
#[derive(Clone, Debug, Deserialize)]
struct Term {
    name: String,
    slope: f64,
    size: f64,
}

/// One quantity of a role, with its budget.
#[derive(Clone, Debug, Deserialize)]
struct Quantity {
    role: String,
    name: String,
    unit: String,
    budget: f64,
    terms: Vec<Term>,
}

/// Everything in the table.
#[derive(Clone, Debug, Deserialize)]
struct Table {
    quantities: Vec<Quantity>,
}

/// Prints each quantity at the planned size beside its budget.
pub fn run(path: &str) -> Result<(), Error> {
    let text = config::read(path)?;
    let table: Table = serde_json::from_str(&text)
        .map_err(|error| Error::Argument { message: format!("{path}: {error}") })?;
    for quantity in &table.quantities {
        let sum: f64 = quantity.terms.iter().map(|it| it.slope * it.size).sum();
        let verdict = if sum <= quantity.budget { "within" } else { "OVER" };
        let Quantity { role, name, unit, budget, .. } = quantity;
        println!("{role}: {name}: {sum:.2} {unit}, budget {budget} {unit}: {verdict}");
        for term in &quantity.terms {
            let Term { name, slope, size } = term;
            println!("    {name}: {slope} x {size} = {:.2}", slope * size);
        }
    }
    Ok(())
}
