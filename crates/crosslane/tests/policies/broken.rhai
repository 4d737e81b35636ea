#{
    class: if {,
}
