//! Reloads of the operator's file by SIGHUP in the running program.

use jaspershunt_stand_ins::balancer::{Balancer, Request};
use jaspershunt_stand_ins::dependency::{Dependency, DependencyConfig};
use jaspershunt_stand_ins::directory::Directory;
use jaspershunt_stand_ins::interpreter::{Interpreter, Work};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

const SETTINGS: &str = concat!(
    r#"{"classes":[{"name":"look","worth":1,"targetS":20,"deadlineS":40,"semantics":"free"}],"#,
    r#""domain":{"nCores":4,"heapKb":100000,"runFactor":4,"halt":"drop","say":"tokens","meters":["core_use","on_cores"],"#,
    r#""dependsOn":"common","fairCalls":20,"callsOverS":5},"#,
    r#""obligations":{"coldFrom":0.3,"coldS":9,"fallMultiple":10,"fallS":2,"drainGraceS":0}}"#
);

fn file(address: SocketAddr) -> String {
    format!(
        "dependency \"a\" {{\n  addresses = [\"{address}\"]\n}}\nroute \"look\" {{\n  repeat = \"safe\"\n  call \"any\" {{ \
         to = \"a\" }}\n}}\n"
    )
}

/// An invalid file changes nothing and is logged in one line; a valid one redirects the calls.
#[test]
fn sighup_applies_a_valid_operator_file_and_rejects_an_invalid_one() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let test = async {
        let old = Dependency::start(DependencyConfig::new("old", 4, Duration::from_millis(1))).await;
        let new = Dependency::start(DependencyConfig::new("new", 4, Duration::from_millis(1))).await;
        let work = Work { core_time: Duration::from_millis(1), calls: 1 };
        let interpreter = Interpreter::start(4, &[("look", work)]).await;
        let directory = Directory::start().await;
        let folder = std::env::temp_dir().join(format!("jaspershunt-reload-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (config, operator) = (folder.join("config.json"), folder.join("site.hcl"));
        let platform = format!(
            r#"{{"name":"n1","listen":"127.0.0.1:0","vm":"{}","lookup":"{}","db":"127.0.0.1:9","settings":{SETTINGS}}}"#,
            interpreter.address(),
            directory.address()
        );
        std::fs::write(&config, platform).unwrap();
        std::fs::write(&operator, file(old.address())).unwrap();
        let mut program = Command::new(env!("CARGO_BIN_EXE_jaspershunt"))
            .args(["serve", "--operator", operator.to_str().unwrap()])
            .env("NODE_CONFIG", &config)
            .env_remove("NODE_LISTEN")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(program.stderr.take().unwrap()).lines();
        let mut wait_for_line =
            |what: &str| lines.by_ref().map(Result::unwrap).find(|line| line.contains(what)).unwrap();
        let listens = wait_for_line("listens on ");
        let address: SocketAddr = listens.rsplit(' ').next().unwrap().parse().unwrap();
        while directory.mode().as_deref() != Some("open") {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let balancer = Balancer::new(address, 1, Some(interpreter.clone()));
        let send_request =
            || async { balancer.send(&Request::new("look", b"x"), Duration::from_secs(30)).await.text() };
        let id = program.id().to_string();
        let send_sighup = || assert!(Command::new("kill").args(["-HUP", &id]).status().unwrap().success());
        assert_eq!(send_request().await, "look x [old:x#1]");

        std::fs::write(&operator, file(new.address()).replace("repeat = \"safe\"", "repeat = 1")).unwrap();
        send_sighup();
        let line = wait_for_line("stays in force");
        assert!(
            line.contains("site.hcl:5:3: route.look.repeat: must be one of safe, keyed, unsafe"),
            "{line}"
        );
        assert_eq!(send_request().await, "look x [old:x#1]");
        // A file that doesn't fit the settings is rejected, too.
        std::fs::write(&operator, file(new.address()).replace("\"look\"", "\"find\"")).unwrap();
        send_sighup();
        assert!(wait_for_line("stays in force").contains("route.find: is no class of the settings"));
        assert_eq!(send_request().await, "look x [old:x#1]");

        std::fs::write(&operator, file(new.address())).unwrap();
        send_sighup();
        wait_for_line("the operator's file is in use");
        assert_eq!(send_request().await, "look x [new:x#1]");
        assert!(old.record().calls.len() == 3 && new.record().calls.len() == 1);
        program.kill().unwrap();
        program.wait().unwrap();
        std::fs::remove_dir_all(&folder).unwrap();
    };
    LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(Duration::from_secs(60), test).await.expect("the test hangs");
    });
}
