//! The tables of the docs, held against the code.

use zinniawing::{Counter, ErrorKind};

fn page(name: &str) -> String {
    let path = format!("{}/docs/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("the page is there")
}

#[test]
fn the_error_table_is_that_of_the_code() {
    let page = page("PROTOCOLS.md");

    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let execution = serde_json::to_value(answer.execution).expect("a name");
        let after = answer.retry_after.map(|t| t.as_millis().to_string());
        let row = format!(
            "| {} | {} | {} | {} |",
            kind.name(),
            answer.status.as_u16(),
            execution.as_str().expect("a name"),
            after.as_deref().unwrap_or("-")
        );
        assert!(page.contains(&row), "missing: {row}");
    }
}

#[test]
fn the_name_of_each_error_is_the_one_on_the_wire() {
    for kind in ErrorKind::ALL {
        assert_eq!(serde_json::to_value(kind).expect("a name"), kind.name());
    }
}

#[test]
fn every_counter_is_in_the_operators_page_and_no_other() {
    let page = page("OPERATIONS.md");
    let (_, list) = page
        .split_once("| counter | unit | counts |")
        .expect("the list");
    let rows = list.lines().skip(2).filter(|line| line.starts_with("| "));
    let mut listed: Vec<&str> = rows.filter_map(|row| row.split(' ').nth(1)).collect();
    let mut known: Vec<&str> = Counter::ALL.iter().map(|c| c.name()).collect();
    listed.sort_unstable();
    known.sort_unstable();

    assert_eq!(listed, known);
}
