//! Complete transcripts of the protocol.

use jaspershunt_adapter::serve;

const FACTS: &str = concat!(
    r#"{"classes":[{"name":"read","worth":1,"targetS":2,"deadlineS":4,"semantics":"free"},"#,
    r#"{"name":"buy","worth":3,"targetS":2,"deadlineS":4,"semantics":"guarded","windowS":10}],"#,
    r#""domain":{"nCores":2,"heapKb":10000,"runFactor":4,"keyKb":50,"halt":"pause","say":"tokens","#,
    r#""dependsOn":"common","fairCalls":3.5,"callsOverS":5,"readiness":true,"newThing":1},"#,
    r#""obligations":{"coldFrom":0.3,"coldS":9,"fallMultiple":5,"fallS":2,"drainGraceS":2,"graceToAnswerS":0.1},"#,
    r#""orgs":[],"servers":3}"#
);

fn run_adapter(text: &str) -> Result<String, String> {
    let mut output = Vec::new();
    serve(text.as_bytes(), &mut output).map_err(|e| e.to_string())?;
    Ok(String::from_utf8(output).unwrap())
}

fn hello(number: u64) -> String {
    format!("MARK tsS=1 n=1\nHELLO instance={number} initSeed=5 facts={FACTS}\nEOF_BATCH\n")
}

#[test]
fn an_empty_batch_is_answered_and_the_end_of_input_is_no_error() {
    assert_eq!(run_adapter("MARK tsS=8.41225 n=1\nEOF_BATCH\n").unwrap(), "NEXT n=1\n");
    assert_eq!(run_adapter("").unwrap(), "");
}

#[test]
fn a_request_runs_and_unknown_keys_and_events_are_skipped() {
    let input = hello(3)
        + "MARK tsS=1.5 n=2\nNEWS instance=3 of=x\n"
        + "JOB_IN instance=3 req=1125699607499204 lane=read sizeKb=24.5 neighbour=17 layS=0.001 colour=red\nEOF_BATCH\n"
        + "MARK tsS=1.6 n=3\nBELL instance=3 token=0 telemetry=core_use:0.5,moon:full,heap_share:-0.0000001\nEOF_BATCH\n";
    let output = run_adapter(&input).unwrap();
    assert!(output.starts_with("MARK_HEALTH instance=3 enable=1 cached=1\n"), "{output}");
    assert!(output.contains("ADMIT instance=3 req=1125699607499204\n"), "{output}");
    assert!(output.contains("ADVERTISE instance=3 value="), "{output}");
    assert!(output.ends_with("NEXT n=3\n"), "{output}");
}

#[test]
fn instances_do_not_affect_each_other() {
    let job = |number: u64| {
        format!(
            "MARK tsS=2 n=2\nJOB_IN instance={number} req={number} lane=buy sizeKb=9 neighbour=1\nEOF_BATCH\n"
        )
    };
    let lines_of = |text: String, number: u64| -> Vec<String> {
        let of = format!(" instance={number} ");
        text.lines().filter(|line| line.contains(&of)).map(str::to_string).collect()
    };
    let alone = lines_of(run_adapter(&(hello(2) + &job(2))).unwrap(), 2);
    let both = format!(
        "MARK tsS=1 n=1\nHELLO instance=1 initSeed=5 facts={FACTS}\nHELLO instance=2 initSeed=5 facts={FACTS}\nEOF_BATCH\n\
         MARK tsS=2 n=2\nJOB_IN instance=1 req=1 lane=buy sizeKb=9 neighbour=1\n\
         JOB_IN instance=2 req=2 lane=buy sizeKb=9 neighbour=1\nEOF_BATCH\n"
    );
    let together = lines_of(run_adapter(&both).unwrap(), 2);
    assert!(alone.iter().any(|line| line.starts_with("KEEP ")));
    assert_eq!(alone, together);
}

#[test]
fn a_killed_process_is_forgotten_and_may_start_again_in_the_same_batch() {
    let input = hello(3)
        + "MARK tsS=2 n=2\nKILL instance=3\nHELLO instance=3 initSeed=6 facts="
        + FACTS
        + "\nEOF_BATCH\n";
    assert_eq!(run_adapter(&input).unwrap().matches("MARK_HEALTH instance=3 enable=1").count(), 2);
}

#[test]
fn errors_name_the_batch_and_line() {
    let job = "MARK tsS=2 n=2\nJOB_IN instance=3 req=7 lane=read sizeKb=9 neighbour=1\nEOF_BATCH\n";
    let cases = [
        (job.replace(" req=7", ""), "batch 2, line 5: JOB_IN without req"),
        (job.replace("req=7", "req=x"), "batch 2, line 5: req must be a whole number"),
        (job.replace("lane=read", "lane=sing"), "unknown class"),
        (job.replace("instance=3", "instance=4"), "no server 4 is running"),
        (job.replace("sizeKb=9", "sizeKb=-9"), "sizeKb must be finite and not negative"),
        (job.replace("EOF_BATCH\n", ""), "the input ends in the middle of a batch"),
        (job.replace("MARK", "MORK"), "expected MARK"),
        (job.replace("neighbour=1", "neighbour"), "expected name=value"),
    ];
    for (text, expected) in cases {
        let problem = run_adapter(&(hello(3) + &text)).unwrap_err();
        assert!(problem.contains(expected), "{problem:?} should contain {expected:?}");
    }
    let no_cores = hello(3).replace("\"nCores\":2", "\"nCores\":0");
    assert!(run_adapter(&no_cores).unwrap_err().contains("setting cores must be at least 1"));
    let no_memory = hello(3).replace("\"heapKb\":10000,", "");
    assert!(run_adapter(&no_memory).unwrap_err().contains("facts.domain.heapKb is missing"));
}
