//! The `dandelionspool-bench` program: runs [`dandelionspool::bench`].

fn main() -> std::process::ExitCode {
    dandelionspool::bench::main()
}
