//! The `dandelionspool-bench` program: a thin shell around [`dandelionspool::bench`].

fn main() -> std::process::ExitCode {
    dandelionspool::bench::main()
}
