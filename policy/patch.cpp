#include "policy/patch.hpp"

#include <algorithm>
#include <set>

namespace siskinpaddle {

namespace {

void collect_changes(const boost::json::value& before, const boost::json::value& after,
                     const std::string& path, std::vector<std::string>& out) {
    if (before == after) {
        return;
    }
    if (!before.is_object() || !after.is_object()) {
        out.push_back(path);
        return;
    }
    std::set<std::string> keys;
    for (const auto& member : before.get_object()) {
        keys.insert(std::string(member.key()));
    }
    for (const auto& member : after.get_object()) {
        keys.insert(std::string(member.key()));
    }
    for (const std::string& key : keys) {
        const auto* old_value = before.get_object().if_contains(key);
        const auto* new_value = after.get_object().if_contains(key);
        const std::string child = path + "/" + escape_pointer(key);
        // An added or removed section is reported as changes of its items, because members own items, not
        // sections.
        static const boost::json::value no_items = boost::json::object();
        if (path.empty() && old_value == nullptr && new_value->is_object()) {
            old_value = &no_items;
        } else if (path.empty() && new_value == nullptr && old_value->is_object()) {
            new_value = &no_items;
        }
        if (old_value != nullptr && new_value != nullptr) {
            collect_changes(*old_value, *new_value, child, out);
        } else {
            out.push_back(child);
        }
    }
}

std::string unescape_pointer(std::string_view token) {
    std::string text;
    for (std::size_t i = 0; i < token.size(); ++i) {
        if (token[i] == '~' && i + 1 < token.size()) {
            text += token[++i] == '1' ? '/' : '~';
        } else {
            text += token[i];
        }
    }
    return text;
}

std::vector<std::string> split_pointer(const std::string& path) {
    std::vector<std::string> tokens;
    std::size_t begin = 1;
    while (begin <= path.size() && !path.empty()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        tokens.push_back(unescape_pointer(std::string_view(path).substr(begin, end - begin)));
        begin = end + 1;
    }
    return tokens;
}

template <typename Map>
const typename Map::mapped_type* lookup(const Map& map, const std::string& key) {
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

std::string owner_of_pool(const configuration& config, const std::string& name) {
    const auto* pool = lookup(config.pools, name);
    return pool == nullptr ? "" : pool->member;
}

std::string owner_of_service(const configuration& config, const std::string& name) {
    const auto* service = lookup(config.services, name);
    return service == nullptr ? "" : owner_of_pool(config, service->pool);
}

/// Returns the member that owns the named item of a section; "" when the item doesn't exist.
std::string owner_of(const configuration& config, const std::string& section, const std::string& name) {
    if (section == "pools") {
        return owner_of_pool(config, name);
    }
    if (section == "services") {
        return owner_of_service(config, name);
    }
    if (section == "routes") {
        const auto* route = lookup(config.routes, name);
        return route == nullptr ? "" : owner_of_service(config, route->service);
    }
    if (section == "waves") {
        const auto* wave = lookup(config.waves, name);
        return wave == nullptr ? "" : owner_of_pool(config, wave->pool);
    }
    if (section == "teams") {
        const auto* team = lookup(config.teams, name);
        return team == nullptr ? "" : team->member;
    }
    return "";
}

bool is_admin(const configuration& config, const std::string& member) {
    const auto* settings = lookup(config.members, member);
    return settings != nullptr && settings->admin;
}

patch_result conflict_result(const stored_configuration& current, const patch_request& request) {
    patch_result result{patch_verdict::conflict, current.number, {}, {}, {}};
    std::set<std::string> paths;
    for (const accepted_change& change : current.history) {
        if (change.number > request.base_number) {
            paths.insert(change.paths.begin(), change.paths.end());
        }
    }
    result.changed_paths.assign(paths.begin(), paths.end());
    result.problems.add("", "the patch is against number " + std::to_string(request.base_number) +
                                "; number " + std::to_string(current.number) + " is in force");
    return result;
}

boost::json::array to_json(const std::vector<std::string>& items) {
    return boost::json::array(items.begin(), items.end());
}

accepted_change decode_change(const boost::json::value& value, const std::string& path, findings& out) {
    json_object object(value, path, out);
    accepted_change change;
    change.number = static_cast<std::uint64_t>(object.number("number", {1, INT64_MAX}));
    change.write_id = object.text("write_id");
    change.member = object.text("member");
    const auto* paths = object.child("paths");
    if (paths == nullptr || !paths->is_array()) {
        out.add(object.path_of("paths"), "must be an array");
        return change;
    }
    for (const auto& item : paths->get_array()) {
        if (item.is_string()) {
            change.paths.emplace_back(item.get_string());
        }
    }
    return change;
}

} // namespace

boost::json::value merge_patch(boost::json::value target, const boost::json::value& patch) {
    if (!patch.is_object()) {
        return patch;
    }
    if (!target.is_object()) {
        target = boost::json::object();
    }
    auto& object = target.get_object();
    for (const auto& member : patch.get_object()) {
        if (member.value().is_null()) {
            object.erase(member.key());
            continue;
        }
        boost::json::value& slot = object[member.key()];
        slot = merge_patch(std::move(slot), member.value());
    }
    return target;
}

std::vector<std::string> find_changed_paths(const boost::json::value& before,
                                            const boost::json::value& after) {
    std::vector<std::string> paths;
    collect_changes(before, after, "", paths);
    return paths;
}

bool can_change(const configuration& before, const configuration& after, const std::string& member,
                const std::string& path) {
    if (is_admin(before, member)) {
        return true;
    }
    const std::vector<std::string> tokens = split_pointer(path);
    if (tokens.size() < 2) {
        return false;
    }
    const std::string owner_before = owner_of(before, tokens[0], tokens[1]);
    const std::string owner_after = owner_of(after, tokens[0], tokens[1]);
    if (owner_before.empty() && owner_after.empty()) {
        return false;
    }
    // A new pool, or a change of `promised`, `size` or `member`, claims VMs that other members pay for, so
    // only an admin may grant it.
    const bool grants_capacity = tokens[0] == "pools" && (tokens.size() < 3 || tokens[2] == "promised" ||
                                                          tokens[2] == "size" || tokens[2] == "member");
    const bool own_before = owner_before.empty() || owner_before == member;
    const bool own_after = owner_after.empty() || owner_after == member;
    return own_before && own_after && !grants_capacity && tokens[0] != "teams";
}

patch_result apply_patch(const stored_configuration& current, const patch_request& request) {
    for (const accepted_change& change : current.history) {
        // A retry after a lost reply must neither conflict with the first submission nor apply twice.
        if (change.write_id == request.write_id && change.member == request.member) {
            return {patch_verdict::already_accepted, change.number, {}, {}, {}};
        }
    }
    if (request.base_number != current.number) {
        return conflict_result(current, request);
    }
    patch_result result{patch_verdict::invalid, current.number, {}, {}, {}};
    if (!request.merge_patch.is_object()) {
        result.problems.add("", "a merge patch must be an object");
        return result;
    }
    const boost::json::value document = merge_patch(current.document, request.merge_patch);
    const configuration after = parse_configuration(current.number + 1, document, result.problems);
    if (!result.problems.empty()) {
        return result;
    }
    findings ignored;
    const configuration before = parse_configuration(current.number, current.document, ignored);
    result.changed_paths = find_changed_paths(current.document, document);
    for (const std::string& path : result.changed_paths) {
        if (!can_change(before, after, request.member, path)) {
            result.problems.add(path, "is not for member '" + request.member + "' to change");
        }
    }
    if (!result.problems.empty()) {
        result.verdict = patch_verdict::not_owner;
        return result;
    }
    if (result.changed_paths.empty()) {
        result.verdict = patch_verdict::no_change;
        return result;
    }
    result.verdict = patch_verdict::accepted;
    result.number = current.number + 1;
    result.next = {result.number, document, current.history};
    result.next.history.push_back({result.number, request.write_id, request.member, result.changed_paths});
    if (result.next.history.size() > stored_configuration::max_history) {
        result.next.history.erase(result.next.history.begin());
    }
    return result;
}

std::string encode_stored_configuration(const stored_configuration& stored) {
    boost::json::array history;
    for (const accepted_change& change : stored.history) {
        history.push_back({{"number", change.number},
                           {"write_id", change.write_id},
                           {"member", change.member},
                           {"paths", to_json(change.paths)}});
    }
    return boost::json::serialize(boost::json::object{
        {"number", stored.number}, {"document", stored.document}, {"history", std::move(history)}});
}

stored_configuration decode_stored_configuration(std::string_view text, findings& out) {
    stored_configuration stored;
    const boost::json::value root = parse_json(text, "", out);
    if (!out.empty()) {
        return stored;
    }
    json_object object(root, "", out);
    stored.number = static_cast<std::uint64_t>(object.number("number", {1, INT64_MAX}));
    if (const auto* document = object.child("document")) {
        stored.document = *document;
    }
    const auto* history = object.child("history");
    if (history != nullptr && history->is_array()) {
        for (const auto& item : history->get_array()) {
            stored.history.push_back(decode_change(item, "/history", out));
        }
    }
    object.reject_unknown();
    return stored;
}

} // namespace siskinpaddle
