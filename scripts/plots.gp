# Plots docs/figures/*.svg from build/tables/*.tsv; run by scripts/plot.
set datafile separator "\t"
set terminal svg size 900,520 font "sans,13" background "white"
set grid

set output "docs/figures/curve.svg"
set title "Convergence against idle control bytes, 40 proxies, 4 data centres"
set xlabel "idle control bytes a second and proxy"
set ylabel "last proxy after, ms (p50)"
set key off
set xrange [0:480]
set yrange [0:400]
# Labels show only the settings that differ from the preset `convergence`.
short(name) = (name[1:12] eq "convergence,") ? name[13:] : name
plot "build/tables/curve.tsv" skip 1 using 2:3 with points pointtype 7 linecolor rgb "#2255aa", \
     "" skip 1 using 2:3:(short(strcol(1))) with labels left rotate by 20 offset 1,0.5 font "sans,9" noenhanced
reset
set datafile separator "\t"
set grid

set output "docs/figures/slopes.svg"
set title "Idle control bytes by role and fleet size (preset convergence, largest of each role)"
set xlabel "proxies"
set ylabel "bytes a second"
set key left top
set xrange [0:220]
set yrange [0:*]
plot for [role in "reader relay leaf"] "build/tables/slopes.tsv" skip 1 \
     using 1:(strcol(2) eq role ? $3 : 1/0) with points pointtype 7 title role
reset
set datafile separator "\t"
set grid

set output "docs/figures/load.svg"
set title "Good answers a second during the fault"
set style data histograms
set style histogram clustered gap 1
set style fill solid 0.8
set yrange [0:950]
set ylabel "good answers a second"
set xtics rotate by 25 right noenhanced
set key right top
plot "< awk -F'\\t' '$2==\"baseline\"' build/tables/load.tsv" using 3:xtic(1) title "baseline" linecolor rgb "#aa7744", \
     "< awk -F'\\t' '$2==\"mesh\"' build/tables/load.tsv" using 3 title "mesh" linecolor rgb "#2255aa"
