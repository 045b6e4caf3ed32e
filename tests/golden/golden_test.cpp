#include "golden/session.hpp"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>

using siskinpaddle::tests::play_session;

namespace {

std::string read(const std::filesystem::path& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// The script within a golden file: everything but the decisions.
std::string script_of(const std::string& golden) {
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

TEST_CASE("golden sessions") {
    int sessions = 0;
    for (const auto& item : std::filesystem::directory_iterator(GOLDEN_FOLDER)) {
        if (item.path().extension() != ".session") {
            continue;
        }
        ++sessions;
        CAPTURE(item.path().filename().string());
        const std::string golden = read(item.path());
        const std::string played = play_session(script_of(golden));
        if (std::getenv("SISKINPADDLE_WRITE_GOLDEN") != nullptr) {
            std::ofstream(item.path(), std::ios::binary) << played;
            continue;
        }
        CHECK(played == golden);
        CHECK(played.find("  ! ") == std::string::npos);
    }
    CHECK(sessions >= 8);
}
