#include "loop_pass.h"

#include <utility>

namespace guavatrail {

namespace {

constexpr int64_t kUsPerMs = 1000;

}  // namespace

std::string_view ToString(LoopWork work) {
  switch (work) {
    case LoopWork::kAccept:
      return "accept";
    case LoopWork::kDownstream:
      return "downstream";
    case LoopWork::kUpstream:
      return "upstream";
    case LoopWork::kControl:
      return "control";
    case LoopWork::kTimer:
      return "timer";
  }
  return "unknown";
}

std::string FormatShares(const LoopPass& pass) {
  std::string text;
  for (size_t i = 0; i < pass.shares.size(); ++i) {
    std::string name(ToString(static_cast<LoopWork>(i)));
    const LoopPass::Share& share = pass.shares[i];
    if (!text.empty()) text += " ";
    text += name + "s=" + std::to_string(share.callbacks);
    text += " " + name + "_ms=" + std::to_string(share.us / kUsPerMs);
  }
  return text;
}

void PassTimer::BeginCallback(LoopWork work, int64_t now_us) {
  if (m_is_running) {
    EndCallback(now_us);
  } else {
    m_is_running = true;
    m_start_us = now_us;
  }
  m_work = work;
  m_callback_start_us = now_us;
  ++m_pass.shares[static_cast<size_t>(work)].callbacks;
}

void PassTimer::EndCallback(int64_t now_us) {
  m_pass.shares[static_cast<size_t>(m_work)].us += now_us - m_callback_start_us;
}

LoopPass PassTimer::EndPass(int64_t now_us) {
  if (!m_is_running) return {};
  EndCallback(now_us);
  m_pass.duration_us = now_us - m_start_us;
  m_is_running = false;
  return std::exchange(m_pass, {});
}

}  // namespace guavatrail
