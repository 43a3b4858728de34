//! Checks that the tables in `docs/` agree with the code.

use zinniawing::{Counter, ErrorKind};

fn read_page(name: &str) -> String {
    let path = format!("{}/docs/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(path).expect("the page exists")
}

#[test]
fn the_error_table_agrees_with_the_code() {
    let page = read_page("PROTOCOLS.md");

    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let execution = serde_json::to_value(answer.execution).expect("a name");
        let retry_after_ms = answer.retry_after.map(|t| t.as_millis().to_string());
        let row = format!(
            "| {} | {} | {} | {} |",
            kind.name(),
            answer.status.as_u16(),
            execution.as_str().expect("a name"),
            retry_after_ms.as_deref().unwrap_or("-")
        );
        assert!(page.contains(&row), "missing: {row}");
    }
}

#[test]
fn each_error_name_is_its_name_on_the_wire() {
    for kind in ErrorKind::ALL {
        assert_eq!(serde_json::to_value(kind).expect("a name"), kind.name());
    }
}

#[test]
fn the_operations_page_lists_every_counter_and_no_other() {
    let page = read_page("OPERATIONS.md");
    let (_, table) = page
        .split_once("| counter | unit | counts |")
        .expect("the table of counters");
    let rows = table.lines().skip(2).filter(|line| line.starts_with("| "));
    let mut listed: Vec<&str> = rows.filter_map(|row| row.split(' ').nth(1)).collect();
    let mut in_code: Vec<&str> = Counter::ALL.iter().map(|c| c.name()).collect();
    listed.sort_unstable();
    in_code.sort_unstable();

    assert_eq!(listed, in_code);
}
