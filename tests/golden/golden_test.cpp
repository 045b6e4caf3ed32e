#include "golden/session.hpp"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>

using siskinpaddle::tests::run_session;

namespace {

std::string read_file(const std::filesystem::path& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Returns the script in a golden file: all lines except the decisions.
std::string extract_script(const std::string& golden) {
    std::istringstream lines(golden);
    std::string script;
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.starts_with("  > ") && !line.starts_with("  ! ")) {
            script += line + "\n";
        }
    }
    return script;
}

} // namespace

TEST_CASE("sessions reproduce their golden files") {
    int sessions = 0;
    for (const auto& item : std::filesystem::directory_iterator(GOLDEN_FOLDER)) {
        if (item.path().extension() != ".session") {
            continue;
        }
        ++sessions;
        CAPTURE(item.path().filename().string());
        const std::string golden = read_file(item.path());
        const std::string output = run_session(extract_script(golden));
        if (std::getenv("SISKINPADDLE_WRITE_GOLDEN") != nullptr) {
            std::ofstream(item.path(), std::ios::binary) << output;
            continue;
        }
        CHECK(output == golden);
        CHECK(output.find("  ! ") == std::string::npos);
    }
    CHECK(sessions >= 8);
}
