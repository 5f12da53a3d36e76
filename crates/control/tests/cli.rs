//! End-to-end test of the program: serve, publish, status, diff and rollback, run as operators run them.

use rcgen::{BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair, SanType};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Working folder of the programs, with certificates of the service and of an operator.
struct Fixture(PathBuf);

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

struct Service(Child);

impl Drop for Service {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Fixture {
    fn new() -> Fixture {
        let folder = std::env::temp_dir().join(format!("sagearch-control-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        std::fs::write(folder.join("ca.pem"), params.self_signed(&key).unwrap().pem()).unwrap();
        let ca = Issuer::new(params, key);
        let write_key_pair = |name: &str, san: SanType, usage| {
            let mut params = CertificateParams::new(Vec::new()).unwrap();
            params.subject_alt_names = vec![san];
            params.extended_key_usages = vec![usage];
            let key = KeyPair::generate().unwrap();
            std::fs::write(folder.join(format!("{name}.pem")), params.signed_by(&key, &ca).unwrap().pem())
                .unwrap();
            std::fs::write(folder.join(format!("{name}.key")), key.serialize_pem()).unwrap();
        };
        write_key_pair(
            "service",
            SanType::DnsName("service.test".try_into().unwrap()),
            ExtendedKeyUsagePurpose::ServerAuth,
        );
        write_key_pair(
            "ops",
            SanType::URI("spiffe://test/ops/one".try_into().unwrap()),
            ExtendedKeyUsagePurpose::ClientAuth,
        );
        Fixture(folder)
    }

    /// Starts the service on a free port, and returns its address.
    fn serve(&self) -> (Service, String) {
        let mut child = Command::new(env!("CARGO_BIN_EXE_sagearch-control"))
            .current_dir(&self.0)
            .args(["serve", "control.kdl"])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let line =
            lines.find(|line| line.as_ref().is_ok_and(|line| line.contains("listens"))).unwrap().unwrap();
        let address = line.split("at=").nth(1).unwrap().split(' ').next().unwrap().to_string();
        // Drains standard error, so that the pipe never fills and blocks the service.
        std::thread::spawn(move || lines.for_each(drop));
        (Service(child), address)
    }

    fn run(&self, address: &str, command: &str) -> (i32, String, String) {
        let target =
            format!("--to {address} --name service.test --roots ca.pem --certificate ops.pem --key ops.key");
        let output = Command::new(env!("CARGO_BIN_EXE_sagearch-control"))
            .current_dir(&self.0)
            .args(command.split(' ').chain(target.split(' ')))
            .output()
            .unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(Path::new(&self.0).join(name), text).unwrap();
    }
}

#[test]
fn published_version_is_rolled_out_compared_and_rolled_back() {
    let fixture = Fixture::new();
    fixture.write(
        "control.kdl",
        "service listen=\"127.0.0.1:0\" data=\"data\" certificate=\"service.pem\" key=\"service.key\" roots=\"ca.pem\" \
         gateways=\"spiffe://test/gateway/\" {\n operator \"one\" may=\"change\" uri=\"spiffe://test/ops/\"\n}\n",
    );
    fixture.write("v1.kdl", "include \"limits.kdl\"\n");
    fixture.write("limits.kdl", "limits lookups=5\n");
    fixture.write("bad.kdl", "limits lookups=0\nrouts\n");
    let (service, address) = fixture.serve();
    assert_eq!(fixture.run(&address, "publish v1.kdl --hold 0s").1, "published as version 1\n");
    // Without connected gateways, each stage completes immediately.
    let wait_until_stable = |number: i64| {
        for _ in 0..200 {
            let status: Value = serde_json::from_str(&fixture.run(&address, "status --json").1).unwrap();
            if status["stable"] == number {
                return;
            }
        }
        panic!("version {number} did not become stable");
    };
    wait_until_stable(1);
    let (code, _, diagnostics) = fixture.run(&address, "publish bad.kdl");
    assert_eq!(code, 2);
    assert!(
        diagnostics.starts_with("bad.kdl:1:8: lookups is no")
            && diagnostics.contains("bad.kdl:2:1: \"routs\""),
        "{diagnostics}"
    );
    assert_eq!(fixture.run(&address, "publish v1.kdl --stages 50,20").0, 2);
    fixture.write("limits.kdl", "limits lookups=6\n");
    assert_eq!(fixture.run(&address, "publish v1.kdl --stages 100 --hold 0s").1, "published as version 2\n");
    wait_until_stable(2);
    let (code, changes, _) = fixture.run(&address, "diff 1 2");
    assert_eq!((code, changes.as_str()), (1, "~ limits: lookups=5 -> lookups=6\n"));
    // A restarted service loads the stored versions and state.
    drop(service);
    let (_service, address) = fixture.serve();
    let run_at_restarted = |command: &str| fixture.run(&address, command);
    assert_eq!(run_at_restarted("rollback 1").1, "version 3 holds what 1 held\n");
    assert_eq!(run_at_restarted("diff 1 3").0, 0);
    assert_eq!(run_at_restarted("rollback 9").0, 2);
    assert!(run_at_restarted("status").1.starts_with("epoch 1, stable 3, 0 gateways connected"));
}
