// Sample program that uses SlotAdmission of libguavatrail for a worker pool with two slots, one of
// them reserved for short work. Prints each decision; exits with 0 if they are as documented.
#include <admission.h>

#include <cstdint>
#include <iostream>

namespace {

constexpr int64_t kMillisecond = 1000;

std::string_view NameOf(guavatrail::AdmissionDecision::Action action) {
  using Action = guavatrail::AdmissionDecision::Action;
  switch (action) {
    case Action::kRun:
      return "run";
    case Action::kQueue:
      return "queue";
    case Action::kRefuse:
      return "refuse";
  }
  return "";
}

}  // namespace

int main() {
  using guavatrail::AdmissionPolicy;
  using Action = guavatrail::AdmissionDecision::Action;
  guavatrail::SlotAdmission::Options options{
      .slots = 2, .reserved_short_slots = 1, .queue_limit = 8};
  AdmissionPolicy policy = guavatrail::SlotAdmission(options);

  guavatrail::AdmissionRequest first_report{
      .id = 1, .is_short = false, .deadline_us = 900 * kMillisecond};
  guavatrail::AdmissionRequest second_report{
      .id = 2, .is_short = false, .deadline_us = 900 * kMillisecond};
  guavatrail::AdmissionRequest check{.id = 3, .is_short = true, .deadline_us = 50 * kMillisecond};
  Action first = guavatrail::Arrive(policy, first_report, 0).action;
  Action second = guavatrail::Arrive(policy, second_report, 0).action;
  Action third = guavatrail::Arrive(policy, check, 0).action;
  std::cout << "report " << NameOf(first) << "\nreport " << NameOf(second) << "\ncheck "
            << NameOf(third) << "\n";
  auto changes = guavatrail::Finish(policy, 1, 20 * kMillisecond, 20 * kMillisecond);
  std::cout << "started after the first report: " << changes.start.size() << "\n";
  bool expected = first == Action::kRun && second == Action::kQueue && third == Action::kRun &&
                  changes.start.size() == 1;
  return expected ? 0 : 1;
}
