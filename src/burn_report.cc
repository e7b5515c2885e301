#include "burn_report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <vector>

namespace guavatrail {

namespace {

// Colours that readers with colour blindness can tell apart (Okabe and Ito, 2008).
constexpr std::array<std::string_view, 6> kColours = {"#0072b2", "#d55e00", "#009e73",
                                                      "#cc79a7", "#e69f00", "#56b4e9"};
constexpr int kPlotWidth = 640;
constexpr int kPlotHeight = 240;
constexpr int kLeft = 170;
constexpr int kRowHeight = 34;
// The latency axis runs from 100 us to 100 s.
constexpr double kFirstDecade = 2;
constexpr double kLastDecade = 8;

struct Row {
  std::string label;
  const BurnEntry* entry;
  BurnBudget budget;
};

std::string Escape(std::string_view text) {
  std::string out;
  for (char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

std::string Fixed(double value, int digits) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(digits) << value;
  return out.str();
}

// Formats a time in milliseconds. INT64_MAX stands for the last bin of the histogram, which has no
// upper bound.
std::string Ms(int64_t us) {
  return us == INT64_MAX ? "&gt; 100000" : Fixed(static_cast<double>(us) / 1000.0, 1);
}

void WriteMissing(std::ostream& out, const MeshBurn& burn) {
  out << "<p>" << burn.nodes.size() << " nodes read, " << burn.missing.size() << " missing.</p>\n";
  if (burn.missing.empty()) return;
  out << "<p class=\"missing\">Missing nodes, whose calls are not counted:";
  for (const std::string& node : burn.missing) out << ' ' << Escape(node);
  out << "</p>\n";
}

void WriteTable(std::ostream& out, const std::vector<Row>& rows) {
  out << "<table><tr><th>service / kind</th><th>objective</th><th>budget left</th>"
         "<th>burn 5 min</th><th>burn 1 h</th>";
  for (size_t i = 0; i < kCallOutcomes; ++i) {
    out << "<th>" << ToString(static_cast<CallOutcome>(i)) << "</th>";
  }
  out << "<th>p50 ms</th><th>p95 ms</th><th>p99 ms</th></tr>\n";
  for (const Row& row : rows) {
    out << "<tr" << (row.budget.left < 0 ? " class=\"overdrawn\"" : "") << "><td>"
        << Escape(row.label) << "</td><td>" << row.budget.objective << "</td><td>"
        << Fixed(100 * row.budget.left, 1) << "%</td><td>" << Fixed(row.budget.fast_rate, 2)
        << "</td><td>" << Fixed(row.budget.slow_rate, 2) << "</td>";
    for (uint64_t n : row.entry->total.counts.by_outcome) out << "<td>" << n << "</td>";
    for (double q : {0.5, 0.95, 0.99}) {
      out << "<td>" << Ms(row.entry->total.latency.Quantile(q)) << "</td>";
    }
    out << "</tr>\n";
  }
  out << "</table>\n";
}

void WriteText(std::ostream& out, double x, double y, std::string_view anchor,
               const std::string& text) {
  out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">" << text
      << "</text>\n";
}

void WriteBar(std::ostream& out, double y, double width, std::string_view colour,
              const std::string& label) {
  out << "<rect x=\"" << kLeft << "\" y=\"" << y << "\" width=\"" << Fixed(width, 1)
      << "\" height=\"11\" fill=\"" << colour << "\"/>\n";
  WriteText(out, kLeft + width + 4, y + 10, "start", label);
}

void WriteBurnRates(std::ostream& out, const std::vector<Row>& rows) {
  double highest = 1.0;
  for (const Row& row : rows) {
    highest = std::max({highest, row.budget.fast_rate, row.budget.slow_rate});
  }
  double scale = (kPlotWidth - kLeft - 60) / highest;
  int height = kRowHeight * static_cast<int>(rows.size()) + 10;
  out << "<h2>Burn rate (dark 5 min, light 1 h; the line marks 1)</h2>\n<svg width=\"" << kPlotWidth
      << "\" height=\"" << height << "\">\n";
  double y = 4;
  for (const Row& row : rows) {
    WriteText(out, kLeft - 6, y + 16, "end", Escape(row.label));
    WriteBar(out, y, row.budget.fast_rate * scale, kColours[0], Fixed(row.budget.fast_rate, 2));
    WriteBar(out, y + 13, row.budget.slow_rate * scale, kColours[5],
             Fixed(row.budget.slow_rate, 2));
    y += kRowHeight;
  }
  out << "<line x1=\"" << kLeft + scale << "\" x2=\"" << kLeft + scale << "\" y1=\"0\" y2=\""
      << height << "\" stroke=\"#444\" stroke-dasharray=\"3\"/>\n</svg>\n";
}

double LatencyX(double us) {
  double decade = std::clamp(std::log10(us), kFirstDecade, kLastDecade);
  return 40 + (kPlotWidth - 60) * (decade - kFirstDecade) / (kLastDecade - kFirstDecade);
}

double ShareY(double share) { return 10 + (kPlotHeight - 40) * (1 - share); }

void WriteLatencyAxes(std::ostream& out) {
  for (int decade = static_cast<int>(kFirstDecade); decade <= static_cast<int>(kLastDecade);
       ++decade) {
    double x = LatencyX(std::pow(10, decade));
    out << "<line x1=\"" << x << "\" x2=\"" << x << "\" y1=\"10\" y2=\"" << ShareY(0)
        << "\" stroke=\"#ddd\"/>\n";
    std::ostringstream ms;
    ms << std::pow(10, decade - 3);
    WriteText(out, x, ShareY(0) + 16, "middle", ms.str() + " ms");
  }
  for (double share : {0.0, 0.5, 0.95, 1.0}) {
    out << "<line x1=\"40\" x2=\"" << kPlotWidth - 20 << "\" y1=\"" << ShareY(share) << "\" y2=\""
        << ShareY(share) << "\" stroke=\"#ddd\"/>\n";
    WriteText(out, 36, ShareY(share) + 4, "end", Fixed(share, 2));
  }
}

void WriteLatencyCurve(std::ostream& out, const LatencyHistogram& latency,
                       std::string_view colour) {
  out << "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" << colour << "\" points=\"";
  uint64_t seen = 0;
  for (size_t i = 0; i + 1 < latency.BinCount(); ++i) {
    seen += latency.Bin(i);
    double share = static_cast<double>(seen) / static_cast<double>(latency.count());
    out << Fixed(LatencyX(static_cast<double>(latency.BinEndUs(i))), 1) << ','
        << Fixed(ShareY(share), 1) << ' ';
  }
  out << "\"/>\n";
}

void WriteLatencies(std::ostream& out, const std::vector<Row>& rows) {
  out << "<h2>Share of complete answers by latency</h2>\n<svg width=\"" << kPlotWidth
      << "\" height=\"" << kPlotHeight << "\">\n";
  WriteLatencyAxes(out);
  for (size_t i = 0; i < rows.size(); ++i) {
    const LatencyHistogram& latency = rows[i].entry->total.latency;
    if (latency.count() > 0) WriteLatencyCurve(out, latency, kColours[i % kColours.size()]);
  }
  out << "</svg>\n<ul class=\"legend\">\n";
  for (size_t i = 0; i < rows.size(); ++i) {
    out << "<li style=\"color:" << kColours[i % kColours.size()] << "\">" << Escape(rows[i].label)
        << "</li>\n";
  }
  out << "</ul>\n";
}

}  // namespace

std::string BurnReportHtml(const MeshBurn& burn,
                           const std::function<double(std::string_view service)>& objective_of) {
  std::vector<Row> rows;
  for (const auto& [key, entry] : burn.entries) {
    rows.push_back(
        {key.first + " / " + key.second, &entry, BudgetOf(entry, objective_of(key.first))});
  }
  std::ostringstream out;
  out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
         "<title>Service-level burn</title>\n<style>"
         "body{font:14px sans-serif;margin:2em}td,th{padding:2px 8px;text-align:right}"
         "td:first-child{text-align:left}svg text{font:11px sans-serif}"
         ".missing,.overdrawn{color:#b00020}.legend{list-style:none;padding:0}"
         "</style></head><body>\n<h1>Service-level burn</h1>\n";
  WriteMissing(out, burn);
  WriteTable(out, rows);
  if (!rows.empty()) {
    WriteBurnRates(out, rows);
    WriteLatencies(out, rows);
  }
  out << "</body></html>\n";
  return out.str();
}

}  // namespace guavatrail
