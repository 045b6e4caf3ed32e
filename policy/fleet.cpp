#include "policy/fleet.hpp"

#include "core/bounded_archive.hpp"

#include <algorithm>

namespace siskinpaddle {

namespace {

template <typename Items>
auto position_of(Items& items, std::string_view id) {
    return std::lower_bound(items.begin(), items.end(), id,
                            [](const auto& item, std::string_view key) { return item.id < key; });
}

template <typename Items>
auto find_by_id(Items& items, std::string_view id) -> decltype(&*items.begin()) {
    const auto position = position_of(items, id);
    return position != items.end() && position->id == id ? &*position : nullptr;
}

template <typename Items, typename Item>
void put_by_id(Items& items, Item item) {
    const auto position = position_of(items, item.id);
    if (position != items.end() && position->id == item.id) {
        *position = std::move(item);
    } else {
        items.insert(position, std::move(item));
    }
}

} // namespace

const vm_record* fleet_record::find_vm(std::string_view id) const {
    return find_by_id(vms, id);
}
vm_record* fleet_record::find_vm(std::string_view id) {
    return find_by_id(vms, id);
}
const entry_record* fleet_record::find_entry(std::string_view id) const {
    return find_by_id(entries, id);
}
void fleet_record::put_vm(vm_record vm) {
    put_by_id(vms, std::move(vm));
}
void fleet_record::put_entry(entry_record entry) {
    put_by_id(entries, std::move(entry));
}

void fleet_record::remove_entry(std::string_view id) {
    std::erase_if(entries, [id](const entry_record& entry) { return entry.id == id; });
}

fleet_delta make_delta(const fleet_record& base, const fleet_record& next) {
    fleet_delta delta{base.revision, next.revision, next.write_id, next.planner, next.entries, {}, {}};
    for (const vm_record& vm : next.vms) {
        const vm_record* before = base.find_vm(vm.id);
        if (before == nullptr || *before != vm) {
            delta.changed.push_back(vm);
        }
    }
    for (const vm_record& vm : base.vms) {
        if (next.find_vm(vm.id) == nullptr) {
            delta.removed.push_back(vm.id);
        }
    }
    return delta;
}

bool apply_delta(fleet_record& fleet, const fleet_delta& delta) {
    if (fleet.revision != delta.base) {
        return false;
    }
    fleet.revision = delta.revision;
    fleet.write_id = delta.write_id;
    fleet.planner = delta.planner;
    fleet.entries = delta.entries;
    for (const vm_record& vm : delta.changed) {
        fleet.put_vm(vm);
    }
    for (const std::string& id : delta.removed) {
        std::erase_if(fleet.vms, [&id](const vm_record& vm) { return vm.id == id; });
    }
    return true;
}

std::string encode_fleet(const fleet_record& fleet) {
    return encode_archive(fleet);
}

boost::leaf::result<fleet_record> decode_fleet(std::string_view bytes) {
    return decode_archive<fleet_record>(bytes);
}

} // namespace siskinpaddle
